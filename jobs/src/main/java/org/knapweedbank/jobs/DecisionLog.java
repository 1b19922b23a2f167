package org.knapweedbank.jobs;

/**
 * Structured log of scheduling decisions. One call writes at most one line and never blocks.
 *
 * <p>A line names the decision and carries its inputs as name-value pairs, so that a failed request
 * can be traced from its identifier to its cause.
 */
@FunctionalInterface
public interface DecisionLog {
    /** Discards all lines. */
    DecisionLog NONE = (event, subject, fields) -> {};

    /**
     * Writes one line.
     *
     * @param event name of the event, in lower case with dots
     * @param subject identifier of the request, job, task or peer that the event concerns
     * @param fields names and values in alternation
     */
    void record(String event, Object subject, Object... fields);

    /**
     * Adds to a counter. The default discards the amount.
     *
     * @param counter name of the counter, in lower case with underscores and its unit
     * @param label what is counted, from a small set of values
     * @param amount amount to add
     */
    default void count(String counter, String label, long amount) {}

    /**
     * Sets a gauge, which has to be repeated every few seconds to stay exposed. The default
     * discards the value.
     *
     * @param name name of the gauge, in lower case with underscores and its unit
     * @param label what is measured, from a small set of values
     * @param value present value
     */
    default void gauge(String name, String label, long value) {}
}
