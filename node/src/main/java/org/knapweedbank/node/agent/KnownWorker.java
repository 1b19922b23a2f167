package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.time.Clock;

/**
 * Worker that takes the calls on the agent's VM, with its lease and its runs. This state belongs to
 * one incarnation and is discarded when another one takes its place.
 */
final class KnownWorker {
    /** Age of lists above which they don't show any more that the worker is idle. */
    private static final Duration MAX_IDLE_LIST_AGE = Duration.ofSeconds(2);

    private final Clock mClock;
    private final RunLog mRunLog;
    private final RunTable mRuns = new RunTable();
    private final LeaseAuthority mAuthority;

    /** Attributes of the worker; null if none has answered yet. */
    private WorkerInfo mInfo;

    /** Sequence number of the newest status report of the worker. */
    private long mReportSequence;

    /**
     * False while the attributes of the worker are those of an earlier incarnation, until the first
     * status report of the present one.
     */
    private boolean mAttributesKnown;

    /** True if the incarnation in {@link #mInfo} has answered the last lease renewal. */
    private boolean mAnswers;

    /** Departure of the worker that has announced that it leaves; null if it has not. */
    private WorkerDeparture mDeparture;

    /** Newest grant that had been received when the latest conclusive lists were requested. */
    private long mListsGrant;

    /** Monotonic time in milliseconds at which these lists were requested. */
    private long mListsRequestedAtMillis = Long.MIN_VALUE / 2;

    KnownWorker(AgentSettings settings, Clock clock, RunLog runLog) {
        mClock = clock;
        mRunLog = runLog;
        mAuthority = new LeaseAuthority(clock, settings.taskLease(), settings.maxWorkerLease());
    }

    RunTable runs() {
        return mRuns;
    }

    LeaseAuthority authority() {
        return mAuthority;
    }

    /** Returns the attributes of the worker, null if none has answered yet. */
    WorkerInfo info() {
        return mInfo;
    }

    /** Returns whether a worker has answered. */
    boolean isPresent() {
        return mInfo != null;
    }

    /** Returns the identifier of the worker, which must be present. */
    WorkerId id() {
        return mInfo.id();
    }

    /** Returns whether an incarnation of a worker is the known one. */
    boolean is(WorkerId id) {
        return mInfo != null && mInfo.id().equals(id);
    }

    boolean attributesKnown() {
        return mAttributesKnown;
    }

    /** Returns whether a status report of the worker is newer than all before. */
    boolean isNewer(StatusReport report) {
        return report.sequence() > mReportSequence;
    }

    /** Takes the attributes from a status report of the worker. */
    void update(StatusReport report) {
        mReportSequence = report.sequence();
        mInfo = report.worker();
        mAttributesKnown = true;
    }

    /** Changes to the worker of a status report. */
    void replace(StatusReport report) {
        replace(report.worker());
        update(report);
    }

    /** Changes to another incarnation of the worker, whose attributes are not known yet. */
    void restart(WorkerId incarnation) {
        replace(mInfo.withId(incarnation));
        mAttributesKnown = false;
        mReportSequence = Long.MIN_VALUE;
    }

    /** Removes the worker, which has left. */
    void remove() {
        replace((WorkerInfo) null);
    }

    /** Sets another worker, or none, and discards all state of the previous one. */
    private void replace(WorkerInfo worker) {
        boolean sameId =
                worker != null && mInfo != null && mInfo.id().id().equals(worker.id().id());
        if (sameId) {
            mRuns.clearListed()
                    .forEach(run -> mRunLog.removed(run, "ended with the former incarnation"));
        } else {
            mRuns.clear();
        }
        mInfo = worker;
        if (mDeparture != null) {
            mDeparture.confirm();
            mDeparture = null;
        }
        mListsGrant = 0;
        mListsRequestedAtMillis = Long.MIN_VALUE / 2;
        mAnswers = false;
        mAuthority.reset();
        if (worker != null) {
            mAuthority.excessLease().recordIncarnation(worker.id().incarnation());
        }
        if (sameId) {
            mAuthority.excessLease().recordRestart(worker.id().incarnation());
        }
    }

    /** Returns whether the known incarnation has answered the last lease renewal. */
    boolean answers() {
        return mAnswers;
    }

    void setAnswers(boolean answers) {
        mAnswers = answers;
    }

    /** Returns the departure of the worker, null if it has not announced that it leaves. */
    WorkerDeparture departure() {
        return mDeparture;
    }

    boolean isLeaving() {
        return mDeparture != null;
    }

    void beginDeparture(WorkerDeparture departure) {
        mDeparture = departure;
    }

    /** Records that conclusive lists have been received. */
    void recordLists(ListRequest request) {
        mListsGrant = request.newestGrant();
        mListsRequestedAtMillis = request.sentAtMillis();
    }

    /** Returns the newest grant that had been received when these lists were requested. */
    long listsGrant() {
        return mListsGrant;
    }

    /** Returns whether recent lists show that nothing runs and no end is left to be stored. */
    boolean isIdle() {
        return mRuns.runs().isEmpty()
                && mRuns.unacknowledged().isEmpty()
                && mClock.monotonicMillis() - mListsRequestedAtMillis
                        <= MAX_IDLE_LIST_AGE.toMillis();
    }

    /**
     * Returns the worker whose lease a grant of the owner can extend. An owner that granted pings
     * for a worker which this process does not reach would keep its runs after their lease has
     * ended.
     */
    Optional<WorkerId> extendable() {
        boolean extendable =
                mInfo != null
                        && mDeparture == null
                        && !mAuthority.excessLease().isOverdue()
                        && mAuthority.extendable();
        return extendable ? Optional.of(mInfo.id()) : Optional.empty();
    }
}
