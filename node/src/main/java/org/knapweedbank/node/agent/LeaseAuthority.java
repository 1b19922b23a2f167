package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Tracks until when the agent may extend the worker's lease, and whether an order is recent enough.
 * Each request to the owner records a reading of the worker's clock from before it was sent. A
 * granted request allows leases up to that reading plus the task lease. Pauses of this process
 * therefore never extend a lease.
 */
final class LeaseAuthority {
    private static final int MAX_REMEMBERED_REQUESTS = 64;

    /** Maximum ratio between the rates of the agent's and the worker's clocks. */
    private static final double MAX_CLOCK_RATE_FACTOR = 1.02;

    /** Margin after the lease's end before all runs on a silent worker count as ended. */
    private static final long CLOCK_MARGIN_MILLIS = 400;

    /** Time without an answer of the worker after which it counts as silent. */
    private static final long MAX_READING_AGE_MILLIS = 1_000;

    private final Clock mClock;
    private final Duration mTaskLease;
    private final ExcessLease mExcessLease;
    private final Deque<Request> mRequests = new ArrayDeque<>();
    private long mLastNumber;

    /** Number of the first request to which an order may refer. */
    private long mFirstPermit;

    private long mNewestGrant;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mWorkerClockMillis = Long.MIN_VALUE;
    private long mReadAtMillis;

    /** Reading of the worker's clock in the newest request that was granted. */
    private long mGrantedReadingMillis = Long.MIN_VALUE;

    /** Monotonic time in milliseconds since which this process has extended no lease. */
    private long mNoLeaseSinceMillis;

    LeaseAuthority(Clock clock, Duration taskLease, Duration maxWorkerLease) {
        mClock = clock;
        mTaskLease = taskLease;
        mExcessLease = new ExcessLease(clock, taskLease, maxWorkerLease);
        mNoLeaseSinceMillis = clock.monotonicMillis();
    }

    /** Returns the lease that the worker may hold beyond what is allowed. */
    ExcessLease excessLease() {
        return mExcessLease;
    }

    /** Discards the state of an earlier incarnation of the worker. */
    void reset() {
        mRequests.clear();
        mLeaseEndMillis = Long.MIN_VALUE;
        mWorkerClockMillis = Long.MIN_VALUE;
        mGrantedReadingMillis = Long.MIN_VALUE;
        mNoLeaseSinceMillis = mClock.monotonicMillis();
    }

    /** Returns the maximum time that a lease takes on a worker's clock, with a margin. */
    static long maxRealMillis(long leaseMillis) {
        return (long) (leaseMillis * MAX_CLOCK_RATE_FACTOR) + CLOCK_MARGIN_MILLIS;
    }

    /** Records a reading of the worker's clock; returns false if a newer one is known. */
    boolean updateWorkerClock(long clockMillis) {
        if (clockMillis < mWorkerClockMillis) {
            return false;
        }
        mWorkerClockMillis = clockMillis;
        mReadAtMillis = mClock.monotonicMillis();
        return true;
    }

    /**
     * Returns the latest reading of the worker's clock, {@link Long#MIN_VALUE} if there is none.
     */
    long latestReadingMillis() {
        return mWorkerClockMillis;
    }

    boolean hasReading() {
        return mWorkerClockMillis != Long.MIN_VALUE;
    }

    /** Records a new request to the owner and returns its number. */
    long nextRequest() {
        mLastNumber++;
        mRequests.add(new Request(mLastNumber, mWorkerClockMillis, Timestamp.now(mClock)));
        if (mRequests.size() > MAX_REMEMBERED_REQUESTS) {
            mRequests.poll();
        }
        return mLastNumber;
    }

    /** Extends the lease that is allowed, after the owner has granted a request. */
    void grant(long number) {
        mNewestGrant = Math.max(mNewestGrant, number);
        mRequests.stream().filter(request -> request.mNumber == number).forEach(this::extendLease);
    }

    private void extendLease(Request request) {
        mExcessLease.recordGrant(request.mSentAt.monotonicMillis());
        if (request.mWorkerClockMillis != Long.MIN_VALUE) {
            mGrantedReadingMillis = Math.max(mGrantedReadingMillis, request.mWorkerClockMillis);
            mLeaseEndMillis = mGrantedReadingMillis + mTaskLease.toMillis();
        }
    }

    /**
     * Returns whether a grant can extend the lease. While the worker is silent none can, as the
     * lease is counted from a reading of its clock. A worker that may hold a longer lease counts as
     * one whose lease is extended, so that the owner keeps its runs for as long.
     */
    boolean extendable() {
        boolean newerReading = mWorkerClockMillis > mGrantedReadingMillis;
        return hasReading() && (!silent() || newerReading || mExcessLease.mayLast());
    }

    /** Returns whether the worker has not answered for some time. */
    boolean silent() {
        return silence().toMillis() > MAX_READING_AGE_MILLIS;
    }

    /** Returns the number of the newest request that the owner has granted, 0 if none. */
    long newestGrant() {
        return mNewestGrant;
    }

    /**
     * Refuses all orders that refer to requests until now. Grants of these requests still extend
     * the lease.
     */
    void withdrawPermits() {
        mFirstPermit = mLastNumber + 1;
    }

    /**
     * Returns whether a request may permit an order and is recent by both the monotonic and the
     * wall clock, because one of them may stand still while the VM is suspended.
     */
    boolean isRecent(long number, Duration maxAge) {
        return number >= mFirstPermit
                && mRequests.stream()
                        .filter(request -> request.mNumber == number)
                        .anyMatch(
                                request -> request.mSentAt.ageMillis(mClock) <= maxAge.toMillis());
    }

    /**
     * Returns the end of the allowed lease on the worker's clock, {@link Long#MIN_VALUE} if none.
     */
    long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** Returns whether the worker has no lease, as the owner has not allowed any. */
    boolean rulesOutLeases() {
        return mLeaseEndMillis == Long.MIN_VALUE && !mExcessLease.mayLast();
    }

    /** Returns the current time of the worker's clock, extrapolated from the last reading. */
    long workerClockMillis() {
        return mWorkerClockMillis + mClock.monotonicMillis() - mReadAtMillis;
    }

    /**
     * Returns the time since the worker's clock was read; without a reading, since this process has
     * extended no lease.
     */
    Duration silence() {
        long sinceMillis = hasReading() ? mReadAtMillis : mNoLeaseSinceMillis;
        return Duration.ofMillis(mClock.monotonicMillis() - sinceMillis);
    }

    /**
     * Returns whether every lease on the VM has expired, and with it all runs: that of a silent
     * worker, and those that an earlier process of the agent may have given.
     */
    boolean allLeasesExpired() {
        long leaseMillis =
                hasReading() && mLeaseEndMillis != Long.MIN_VALUE
                        ? Math.max(0, mLeaseEndMillis - mWorkerClockMillis)
                        : mTaskLease.toMillis();
        return !mExcessLease.mayLast() && silence().toMillis() > maxRealMillis(leaseMillis);
    }

    private record Request(long mNumber, long mWorkerClockMillis, Timestamp mSentAt) {}
}
