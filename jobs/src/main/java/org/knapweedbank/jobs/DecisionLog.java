package org.knapweedbank.jobs;

/**
 * Structured log of decisions. One call writes at most one line and never blocks.
 *
 * <p>A line names what was decided and carries the inputs as pairs of name and value, so that a
 * failed request can be traced from its identifier to its cause.
 */
@FunctionalInterface
public interface DecisionLog {
    /** Discards all lines. */
    DecisionLog NONE = (event, subject, fields) -> {};

    /**
     * Writes one line.
     *
     * @param event what happened, in lower case with dots
     * @param subject identifier of the request, job, task or peer that it concerns
     * @param fields names and values by turns
     */
    void record(String event, Object subject, Object... fields);
}
