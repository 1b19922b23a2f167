package org.knapweedbank.wire;

/**
 * Reports that a request has not run, and that a delayed copy of it will not run either.
 *
 * @param id identifier of the request
 * @param reason short reason why the request did not run
 * @param load load of the upstream
 */
public record NotRun(long id, String reason, LoadReport load) implements Message {}
