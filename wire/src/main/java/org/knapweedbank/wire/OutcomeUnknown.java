package org.knapweedbank.wire;

/**
 * States that the request may have run.
 *
 * @param id identifier of the request
 * @param reason short reason
 * @param load load of the upstream
 */
public record OutcomeUnknown(long id, String reason, LoadReport load) implements Message {}
