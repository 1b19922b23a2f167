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

    /**
     * Time before the end of the allowed lease at which runs that a worker may hold for longer are
     * stopped. A stop takes up to a second.
     */
    private static final long STOP_MILLIS = 1_000;

    /** Maximum difference between the wall clocks of agent and worker. */
    private static final long MAX_WALL_DIFFERENCE_MILLIS = 1_000;

    private final Clock mClock;
    private final Duration mTaskLease;
    private final Duration mMaxWorkerLease;
    private final Deque<Request> mRequests = new ArrayDeque<>();
    private long mLastNumber;
    private long mNewestGrant;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mWorkerClockMillis = Long.MIN_VALUE;
    private long mReadAtMillis;

    /** Monotonic time in milliseconds since which this process has extended no lease. */
    private long mNoLeaseSinceMillis;

    /** Monotonic time in milliseconds at which the newest request that was granted was sent. */
    private long mGrantedRequestAtMillis;

    /**
     * Monotonic time in milliseconds until which the worker may hold a lease that was not allowed.
     */
    private long mExcessLeaseUntilMillis = Long.MIN_VALUE;

    private boolean mOverdue;

    private Timestamp mDeadlineSentAt = Timestamp.NEVER;

    LeaseAuthority(Clock clock, Duration taskLease, Duration maxWorkerLease) {
        mClock = clock;
        mTaskLease = taskLease;
        mMaxWorkerLease = maxWorkerLease;
        mNoLeaseSinceMillis = clock.monotonicMillis();
        mGrantedRequestAtMillis = mNoLeaseSinceMillis;
    }

    /** Discards the state of an earlier incarnation of the worker. */
    void reset() {
        mRequests.clear();
        mLeaseEndMillis = Long.MIN_VALUE;
        mWorkerClockMillis = Long.MIN_VALUE;
        mNoLeaseSinceMillis = mClock.monotonicMillis();
    }

    /** Records that a call with a deadline on the clock of the known incarnation is sent now. */
    void recordDeadlineSent() {
        mDeadlineSentAt = Timestamp.now(mClock);
    }

    /**
     * Records that the worker has started again under its identifier. If a call was sent with a
     * deadline of the former incarnation, whose clock was ahead, it may hold a lease that is longer
     * than any that was allowed.
     *
     * @param startMillis start of the present incarnation in Unix milliseconds
     */
    void recordRestart(long startMillis) {
        if (mDeadlineSentAt.wallTime().toEpochMilli() > startMillis - MAX_WALL_DIFFERENCE_MILLIS) {
            recordExcessLease();
        }
    }

    /** Records that the present incarnation has carried out a call with such a deadline. */
    void recordExcessLease() {
        mExcessLeaseUntilMillis = mClock.monotonicMillis() + realMillis(mMaxWorkerLease.toMillis());
    }

    /** Returns the maximum time that a lease takes on a worker's clock, with a margin. */
    private static long realMillis(long leaseMillis) {
        return (long) (leaseMillis * MAX_CLOCK_RATE_FACTOR) + CLOCK_MARGIN_MILLIS;
    }

    private boolean mayHoldExcessLease() {
        return mClock.monotonicMillis() < mExcessLeaseUntilMillis;
    }

    /**
     * Updates whether the worker is overdue: it may hold a longer lease than the owner counts with,
     * and that of the owner has ended or is about to. The owner may then start the tasks elsewhere,
     * whether they still run here or have ended unread. So a worker remains overdue, whatever the
     * owner grants, until its own lease has ended too.
     *
     * @param idle true if nothing runs on the worker and none of its ends is left to be stored
     */
    void updateOverdue(boolean idle) {
        long grantAgeMillis = mClock.monotonicMillis() - mGrantedRequestAtMillis;
        boolean ownersLeaseEnds = grantAgeMillis > mTaskLease.toMillis() - STOP_MILLIS;
        mOverdue = mayHoldExcessLease() && (mOverdue || ownersLeaseEnds && !idle);
    }

    boolean isOverdue() {
        return mOverdue && mayHoldExcessLease();
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

    /**
     * Extends the lease that is allowed, after the owner has granted a request. {@link
     * #updateOverdue} is called before, as a grant after a pause tells nothing of the time before.
     */
    void grant(long number) {
        mNewestGrant = Math.max(mNewestGrant, number);
        mRequests.stream()
                .filter(request -> request.mNumber == number)
                .forEach(this::recordGrantedRequest);
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

    private void recordGrantedRequest(Request request) {
        mGrantedRequestAtMillis =
                Math.max(mGrantedRequestAtMillis, request.mSentAt.monotonicMillis());
    }

    /** Returns the number of the newest request that the owner has granted, 0 if none. */
    long newestGrant() {
        return mNewestGrant;
    }

    /**
     * Returns whether a request is recent by both the monotonic and the wall clock, because one of
     * them may stand still while the VM is suspended.
     */
    boolean isRecent(long number, Duration maxAge) {
        return mRequests.stream()
                .filter(request -> request.mNumber == number)
                .anyMatch(request -> request.mSentAt.ageMillis(mClock) <= maxAge.toMillis());
    }

    /**
     * Returns the end of the allowed lease on the worker's clock, {@link Long#MIN_VALUE} if none.
     */
    long leaseEndMillis() {
        return mLeaseEndMillis;
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
        return !mayHoldExcessLease() && silence().toMillis() > realMillis(leaseMillis);
    }

    private record Request(long mNumber, long mWorkerClockMillis, Timestamp mSentAt) {}
}
