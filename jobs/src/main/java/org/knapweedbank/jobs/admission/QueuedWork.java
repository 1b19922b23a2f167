package org.knapweedbank.jobs.admission;

/**
 * Remaining work of an unfinished job in one pool.
 *
 * @param urgency place of the job in the order of urgency, the most urgent first
 * @param coreMillis remaining work in core-milliseconds
 * @param <U> type of the urgency
 */
public record QueuedWork<U>(U urgency, double coreMillis) {}
