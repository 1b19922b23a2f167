package org.knapweedbank.node.agent;

import java.time.Duration;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Lease that a worker may hold although the owner has not allowed it. A worker that starts again
 * under its identifier may take a call with a deadline of its former incarnation, whose clock was
 * ahead. It then gives itself the longest lease that it accepts.
 */
final class ExcessLease {
    /**
     * Time before the end of the allowed lease at which runs that the worker may hold for longer
     * are stopped. A stop takes up to a second.
     */
    private static final long STOP_MILLIS = 1_000;

    /** Maximum difference between the wall clocks of agent and worker. */
    private static final long MAX_WALL_DIFFERENCE_MILLIS = 1_000;

    private final Clock mClock;
    private final Duration mTaskLease;
    private final Duration mMaxWorkerLease;

    /** Moment until which an earlier process of the agent may have sent such a call. */
    private final Timestamp mProcessStart;

    /** When a call with a deadline on the clock of the known incarnation was sent last. */
    private Timestamp mDeadlineSentAt = Timestamp.NEVER;

    /** Monotonic time in milliseconds until which the worker may hold such a lease. */
    private long mUntilMillis = Long.MIN_VALUE;

    /** Monotonic time in milliseconds at which the newest request that was granted was sent. */
    private long mGrantedRequestAtMillis;

    private boolean mOverdue;

    /** Whether all calls with other deadlines were sent before the present incarnation started. */
    private boolean mRuledOut;

    /**
     * Creates the tracker.
     *
     * @param taskLease lease that the owner allows
     * @param maxWorkerLease longest lease that the worker accepts
     */
    ExcessLease(Clock clock, Duration taskLease, Duration maxWorkerLease) {
        mClock = clock;
        mTaskLease = taskLease;
        mMaxWorkerLease = maxWorkerLease;
        mProcessStart = Timestamp.now(clock);
        mGrantedRequestAtMillis = clock.monotonicMillis();
    }

    /** Records that a call with a deadline on the clock of the known incarnation is sent now. */
    void recordDeadlineSent() {
        mDeadlineSentAt = Timestamp.now(mClock);
    }

    /**
     * Records that the worker has started again under its identifier.
     *
     * @param startMillis start of the present incarnation in Unix milliseconds
     */
    void recordRestart(long startMillis) {
        if (mDeadlineSentAt.wallTime().toEpochMilli() > startMillis - MAX_WALL_DIFFERENCE_MILLIS) {
            recordDeadlineTaken();
        }
    }

    /**
     * Records that another incarnation takes the calls, before a deadline on its clock is sent.
     *
     * @param startMillis start of that incarnation in Unix milliseconds
     */
    void recordIncarnation(long startMillis) {
        mRuledOut = precedes(mDeadlineSentAt, startMillis) && precedes(mProcessStart, startMillis);
    }

    /**
     * Returns whether a moment precedes a start, also if the wall clock was set in between: the
     * monotonic clock must show it, too.
     */
    private boolean precedes(Timestamp moment, long startMillis) {
        long sinceStartMillis = Math.max(0, mClock.wallTime().toEpochMilli() - startMillis);
        long ageMillis = mClock.monotonicMillis() - moment.monotonicMillis();
        return moment.wallTime().toEpochMilli() <= startMillis - MAX_WALL_DIFFERENCE_MILLIS
                && ageMillis >= sinceStartMillis + MAX_WALL_DIFFERENCE_MILLIS;
    }

    /**
     * Returns whether the present incarnation can't hold such a lease: neither this process of the
     * agent nor an earlier one has sent a deadline of a former incarnation since it started.
     */
    boolean isRuledOut() {
        return mRuledOut && !mayLast();
    }

    /** Records that the present incarnation has taken a deadline of the former one. */
    void recordDeadlineTaken() {
        mUntilMillis =
                mClock.monotonicMillis() + LeaseAuthority.maxRealMillis(mMaxWorkerLease.toMillis());
    }

    /** Returns whether the worker may still hold such a lease. */
    boolean mayLast() {
        return mClock.monotonicMillis() < mUntilMillis;
    }

    /**
     * Records that the owner has granted a request. {@link #update} is called before, as a grant
     * after a pause tells nothing of the time before.
     *
     * @param sentAtMillis monotonic time in milliseconds at which the request was sent
     */
    void recordGrant(long sentAtMillis) {
        mGrantedRequestAtMillis = Math.max(mGrantedRequestAtMillis, sentAtMillis);
    }

    /**
     * Updates whether the worker is overdue: it may hold such a lease, and that of the owner has
     * ended or is about to. The owner may then start the tasks elsewhere, whether they still run
     * here or have ended unread. So a worker remains overdue, whatever the owner grants, until its
     * own lease has ended too.
     *
     * @param idle true if nothing runs on the worker and none of its ends is left to be stored
     */
    void update(boolean idle) {
        long grantAgeMillis = mClock.monotonicMillis() - mGrantedRequestAtMillis;
        boolean ownersLeaseEnds = grantAgeMillis > mTaskLease.toMillis() - STOP_MILLIS;
        mOverdue = mayLast() && (mOverdue || ownersLeaseEnds && !idle);
    }

    boolean isOverdue() {
        return mOverdue && mayLast();
    }
}
