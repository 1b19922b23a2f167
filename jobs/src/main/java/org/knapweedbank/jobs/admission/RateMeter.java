package org.knapweedbank.jobs.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Measures the rate at which work is completed while some of it waits. Only then does the rate show
 * the capacity; at other times it shows the demand.
 */
public final class RateMeter {
    /** Waiting time over which the rate is averaged, in milliseconds. */
    static final long WINDOW_MILLIS = 10_000;

    /**
     * Waiting time below which the rate is unknown, in milliseconds. The progress of runs is
     * reported in steps of half a second or more, which a shorter time would not average out.
     */
    static final long MIN_WAITING_MILLIS = 5_000;

    /**
     * Age from which an interval no longer counts, in milliseconds. After a longer time without
     * waiting work the number of VMs and the load of serving tasks may have changed.
     */
    static final long MAX_AGE_MILLIS = 60_000;

    private final Deque<Interval> mIntervals = new ArrayDeque<>();
    private long mMillis;
    private double mCoreMillis;

    /**
     * Adds an interval during which work waited.
     *
     * @param endedAt monotonic time of its end in milliseconds
     * @param millis its length in milliseconds
     * @param coreMillis work completed in it, in core-milliseconds
     */
    public void add(long endedAt, long millis, double coreMillis) {
        mIntervals.addLast(new Interval(endedAt, millis, coreMillis));
        mMillis += millis;
        mCoreMillis += coreMillis;
        while (mMillis - mIntervals.getFirst().millis() >= WINDOW_MILLIS) {
            removeFirst();
        }
    }

    /**
     * Returns the rate.
     *
     * @param now monotonic time in milliseconds
     * @return the rate in cores at full speed; empty if too little waiting time was observed, or if
     *     no completed work was reported in it
     */
    public OptionalDouble rate(long now) {
        while (!mIntervals.isEmpty() && now - mIntervals.getFirst().endedAt() > MAX_AGE_MILLIS) {
            removeFirst();
        }
        return mMillis >= MIN_WAITING_MILLIS && mCoreMillis > 0
                ? OptionalDouble.of(mCoreMillis / mMillis)
                : OptionalDouble.empty();
    }

    private void removeFirst() {
        Interval first = mIntervals.removeFirst();
        mMillis -= first.millis();
        mCoreMillis = mIntervals.isEmpty() ? 0 : mCoreMillis - first.coreMillis();
    }

    /** Time during which work waited, and the work completed in it. */
    private record Interval(long endedAt, long millis, double coreMillis) {}
}
