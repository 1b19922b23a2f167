package org.knapweedbank.wire;

/**
 * States that the request has not run and that a late copy of it will not run either.
 *
 * @param id identifier of the request
 * @param reason short reason
 * @param load load of the upstream
 */
public record NotRun(long id, String reason, LoadReport load) implements Message {}
