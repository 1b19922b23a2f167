package org.knapweedbank.jobs.admission;

import java.util.List;

/**
 * State of a pool at one moment.
 *
 * @param waiting whether work of the pool waits for processor time
 * @param doneCoreMillis work that was completed since the previous sample, in core-milliseconds
 * @param unfinished remaining work of the unfinished jobs
 * @param <U> type of the urgency
 */
public record PoolSample<U>(
        boolean waiting, double doneCoreMillis, List<QueuedWork<U>> unfinished) {
    /** Copies the list. */
    public PoolSample {
        unfinished = List.copyOf(unfinished);
    }
}
