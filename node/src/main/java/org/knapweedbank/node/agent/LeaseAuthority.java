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
    private static final int MAX_REMEMBERED_REQUESTS = 64;

    private final Clock mClock;
    private final Duration mTaskLease;
    private final Deque<Request> mRequests = new ArrayDeque<>();
    private long mLastNumber;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mWorkerClockMillis = Long.MIN_VALUE;
    private long mReadAtMillis;

    LeaseAuthority(Clock clock, Duration taskLease) {
        mClock = clock;
        mTaskLease = taskLease;
    }

    /** Forgets all that concerns an earlier incarnation of the worker. */
    void reset() {
        mRequests.clear();
        mLeaseEndMillis = Long.MIN_VALUE;
        mWorkerClockMillis = Long.MIN_VALUE;
    }

    /** Takes a reading of the worker's clock; false if a newer one is known. */
    boolean updateWorkerClock(long clockMillis) {
        if (clockMillis < mWorkerClockMillis) {
            return false;
        }
        mWorkerClockMillis = clockMillis;
        mReadAtMillis = mClock.monotonicMillis();
        return true;
    }

    boolean hasReading() {
        return mWorkerClockMillis != Long.MIN_VALUE;
    }

    /** Numbers the next request to the owner. */
    long nextRequest() {
        mLastNumber++;
        mRequests.add(
                new Request(
                        mLastNumber,
                        mWorkerClockMillis,
                        mClock.monotonicMillis(),
                        mClock.wallTime().toEpochMilli()));
        if (mRequests.size() > MAX_REMEMBERED_REQUESTS) {
            mRequests.poll();
        }
        return mLastNumber;
    }

    /** Takes the owner's answer to a request. */
    void grant(long number) {
        mRequests.stream()
                .filter(
                        request ->
                                request.mNumber == number
                                        && request.mWorkerClockMillis != Long.MIN_VALUE)
                .forEach(
                        request ->
                                mLeaseEndMillis =
                                        Math.max(
                                                mLeaseEndMillis,
                                                request.mWorkerClockMillis
                                                        + mTaskLease.toMillis()));
    }

    /**
     * Tells whether a request is recent, by both clocks: one of them stands during a suspension.
     */
    boolean isRecent(long number, Duration maxAge) {
        long monotonicMillis = mClock.monotonicMillis();
        long wallMillis = mClock.wallTime().toEpochMilli();
        return mRequests.stream()
                .filter(request -> request.mNumber == number)
                .anyMatch(
                        request ->
                                Math.max(
                                                monotonicMillis - request.mSentAtMillis,
                                                wallMillis - request.mSentAtWallMillis)
                                        <= maxAge.toMillis());
    }

    /** End of the lease on the worker's clock; {@link Long#MIN_VALUE} if there is no authority. */
    long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** The worker's clock now, as far as known. */
    long workerClockMillis() {
        return mWorkerClockMillis + mClock.monotonicMillis() - mReadAtMillis;
    }

    /** Time since the last reading. */
    Duration timeSinceReading() {
        return Duration.ofMillis(mClock.monotonicMillis() - mReadAtMillis);
    }

    private record Request(
            long mNumber, long mWorkerClockMillis, long mSentAtMillis, long mSentAtWallMillis) {}
}
