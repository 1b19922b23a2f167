package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.time.Clock;

/**
 * How long the agent may let things run, and whether an order is fresh. Each request to the owner
 * is anchored at a reading of the worker's clock made before it was sent; an answer allows leases
 * up to that reading and the task lease. Pauses of this process therefore never extend a lease.
 */
final class LeaseAuthority {
    private static final int MAX_REQUESTS = 64;

    private final Clock mClock;
    private final Duration mTaskLease;
    private final Deque<Request> mRequests = new ArrayDeque<>();
    private long mNumber;
    private long mLimit = Long.MIN_VALUE;
    private long mReading = Long.MIN_VALUE;
    private long mReadAt;

    LeaseAuthority(Clock clock, Duration taskLease) {
        mClock = clock;
        mTaskLease = taskLease;
    }

    /** Forgets all that concerns an earlier incarnation of the worker. */
    void reset() {
        mRequests.clear();
        mLimit = Long.MIN_VALUE;
        mReading = Long.MIN_VALUE;
    }

    /** Takes a reading of the worker's clock; false if a newer one is known. */
    boolean read(long clock) {
        if (clock < mReading) {
            return false;
        }
        mReading = clock;
        mReadAt = mClock.monotonicMillis();
        return true;
    }

    boolean hasReading() {
        return mReading != Long.MIN_VALUE;
    }

    /** Numbers the next request to the owner. */
    long request() {
        mNumber++;
        mRequests.add(
                new Request(
                        mNumber,
                        mReading,
                        mClock.monotonicMillis(),
                        mClock.wallTime().toEpochMilli()));
        if (mRequests.size() > MAX_REQUESTS) {
            mRequests.poll();
        }
        return mNumber;
    }

    /** Takes the owner's answer to a request. */
    void granted(long number) {
        mRequests.stream()
                .filter(r -> r.mNumber == number && r.mReading != Long.MIN_VALUE)
                .forEach(r -> mLimit = Math.max(mLimit, r.mReading + mTaskLease.toMillis()));
    }

    /**
     * Tells whether a request is recent, by both clocks: one of them stands during a suspension.
     */
    boolean fresh(long number, Duration limit) {
        long monotonic = mClock.monotonicMillis();
        long wall = mClock.wallTime().toEpochMilli();
        return mRequests.stream()
                .filter(r -> r.mNumber == number)
                .anyMatch(
                        r ->
                                Math.max(monotonic - r.mSentAt, wall - r.mSentWall)
                                        <= limit.toMillis());
    }

    /** End of the lease on the worker's clock; {@link Long#MIN_VALUE} if there is no authority. */
    long limit() {
        return mLimit;
    }

    /** The worker's clock now, as far as known. */
    long workerClock() {
        return mReading + mClock.monotonicMillis() - mReadAt;
    }

    /** Time since the last reading. */
    Duration silence() {
        return Duration.ofMillis(mClock.monotonicMillis() - mReadAt);
    }

    private record Request(long mNumber, long mReading, long mSentAt, long mSentWall) {}
}
