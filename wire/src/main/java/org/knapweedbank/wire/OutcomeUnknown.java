package org.knapweedbank.wire;

/**
 * Reports that it is not known whether a request has run.
 *
 * @param id identifier of the request
 * @param reason short reason why the outcome is unknown
 * @param load load of the upstream
 */
public record OutcomeUnknown(long id, String reason, LoadReport load) implements Message {}
