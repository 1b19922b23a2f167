package org.knapweedbank.jobs.reservation;

import org.knapweedbank.model.Resources;

/**
 * A run that is expected to end and then frees its resources.
 *
 * @param room resources that the run reserves
 * @param expectedEnd expected end, in monotonic milliseconds; not after the latest end
 * @param latestEnd time by which most such runs have ended, in monotonic milliseconds
 */
public record EndingRun(Resources room, long expectedEnd, long latestEnd) {
    /**
     * Limits the expected end to the latest end: if a few tasks take much longer than the others,
     * the mean run time is above the quantile by which most have ended.
     */
    public EndingRun {
        expectedEnd = Math.min(expectedEnd, latestEnd);
    }

    /**
     * Returns when the run is expected to end, seen from now. A run that is late ends halfway to
     * its latest end; one beyond that takes as long again as it is already beyond.
     *
     * @param now monotonic time in milliseconds
     * @return monotonic time in milliseconds, not before now
     */
    public long expectedEndFrom(long now) {
        if (expectedEnd >= now) {
            return expectedEnd;
        }
        return latestEnd >= now ? now + (latestEnd - now) / 2 : now + (now - latestEnd);
    }

    /**
     * Returns the time by which the run has very likely ended, seen from now.
     *
     * @param now monotonic time in milliseconds
     * @return monotonic time in milliseconds, not before now
     */
    public long latestEndFrom(long now) {
        return latestEnd >= now ? latestEnd : expectedEndFrom(now);
    }
}
