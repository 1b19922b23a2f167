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
        removeOld(now);
        // Added up anew, since the rounding error of a running sum would pass for a tiny rate.
        double coreMillis = mIntervals.stream().mapToDouble(Interval::coreMillis).sum();
        return mMillis >= MIN_WAITING_MILLIS && coreMillis > 0
                ? OptionalDouble.of(coreMillis / mMillis)
                : OptionalDouble.empty();
    }

    /** Returns whether no interval has been added recently. */
    boolean isEmpty(long now) {
        removeOld(now);
        return mIntervals.isEmpty();
    }

    private void removeOld(long now) {
        while (!mIntervals.isEmpty() && now - mIntervals.getFirst().endedAt() > MAX_AGE_MILLIS) {
            removeFirst();
        }
    }

    private void removeFirst() {
        mMillis -= mIntervals.removeFirst().millis();
    }

    /** Time during which work waited, and the work completed in it. */
    private record Interval(long endedAt, long millis, double coreMillis) {}
}
