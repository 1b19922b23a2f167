package org.knapweedbank.node.agent;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/** Link to the owner, and what has been reported on it about the worker. */
final class OwnerChannel {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final RunLog mRunLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;

    /** Link to the connected owner; null if there is none. */
    private Link mLink;

    /** Highest term of an owner whose orders this agent has accepted; 0 if none. */
    private long mTerm;

    /** What has been reported to the connected owner. */
    private Reported mReported = Reported.NOTHING;

    /**
     * Reason why nothing runs on the VM; null while the worker holds a lease or one that was given
     * by an earlier process of the agent may last.
     */
    private String mNoWorkerReason;

    /**
     * Reason of a statement that nothing runs on the VM, which is repeated on new links while the
     * present worker, which it does not name, can hold no lease; null if none is.
     */
    private String mRepeatedReason;

    OwnerChannel(Clock clock, DecisionLog log, RunLog runLog, KnownWorker worker) {
        mClock = clock;
        mLog = log;
        mRunLog = runLog;
        mWorker = worker;
        mRuns = worker.runs();
    }

    long term() {
        return mTerm;
    }

    void connected(Link link, long term) {
        mLink = link;
        mTerm = term;
        mReported = Reported.NOTHING;
        if (mNoWorkerReason != null) {
            send(new NodeMessage.NoWorker(mNoWorkerReason));
        } else if (mRepeatedReason != null && mWorker.authority().rulesOutLeases()) {
            send(new NodeMessage.NoWorker(mRepeatedReason));
        }
    }

    void disconnected() {
        mLink = null;
        mReported = Reported.NOTHING;
    }

    /**
     * Handles that another worker, of which nothing has been reported, takes the calls. An owner
     * that has not received the statement that nothing runs on the VM ignores a worker that started
     * before the one it knows.
     *
     * @param startedEarlier true if the worker started before the former one
     */
    void workerReplaced(boolean startedEarlier) {
        mReported = Reported.NOTHING;
        mRepeatedReason = startedEarlier ? mNoWorkerReason : null;
        mNoWorkerReason = null;
    }

    /**
     * States that nothing runs on the VM. The owner then gives up the runs that it has ordered
     * there, so orders that are still under way must not be carried out.
     */
    void stateNoWorker(String reason) {
        mReported = Reported.NOTHING;
        mWorker.authority().withdrawPermits();
        mNoWorkerReason = reason;
        send(new NodeMessage.NoWorker(reason));
    }

    /** Returns whether the agent has stated that nothing runs on the VM, and still holds it. */
    boolean noWorkerStated() {
        return mNoWorkerReason != null;
    }

    void sendPing() {
        if (mLink != null) {
            mLink.send(new NodeMessage.Ping(mWorker.authority().nextRequest(), leasedWorker()));
        }
    }

    private Optional<WorkerId> leasedWorker() {
        return mNoWorkerReason == null ? mWorker.extendable() : Optional.empty();
    }

    /** Reports what the worker's lists have shown, as far as the owner does not know it. */
    void reportLists(
            LeaseRenewalReply.Renewed renewed, ListRequest request, List<EndedRun> newEnds) {
        if (mNoWorkerReason != null) {
            mNoWorkerReason = null;
            mReported = Reported.NOTHING;
        }
        boolean reportable =
                renewed.complete()
                        && mWorker.attributesKnown()
                        && request.term() == mTerm
                        && mLink != null;
        Reported possible = renewed.allEnds() ? Reported.ALL_RUNS : Reported.SOME_ENDS;
        if (reportable && mReported.compareTo(possible) < 0) {
            reportState(possible, renewed.workerClockMillis(), request);
        } else if (mReported != Reported.NOTHING && !newEnds.isEmpty()) {
            send(new NodeMessage.Ends(mWorker.id(), newEnds));
        }
    }

    /**
     * Reports the runs and ends to the owner. While the worker has more ends than it can list, the
     * report is incomplete; it lets the owner store these ends, after which the worker lists more.
     */
    private void reportState(Reported reported, long workerClockMillis, ListRequest request) {
        mReported = reported;
        mRunLog.reported(
                mWorker.id(),
                mTerm,
                reported,
                mClock.monotonicMillis() - request.sentAtMillis(),
                workerClockMillis,
                mRuns);
        mLink.send(
                new NodeMessage.Report(
                        request.newestGrant(),
                        new AgentReport(
                                Optional.of(mWorker.info()),
                                reported == Reported.ALL_RUNS,
                                mRuns.starting(),
                                mRuns.running(),
                                mRuns.unacknowledged(),
                                mWorker.authority().excessLease().isRuledOut())));
    }

    /** Reports the progress of the runs; before the full report nothing is sent. */
    void reportProgress() {
        if (mReported == Reported.ALL_RUNS) {
            send(
                    new NodeMessage.Progress(
                            mWorker.listsGrant(),
                            mWorker.id(),
                            mRuns.starting(),
                            mRuns.running(),
                            mRuns.missing(mClock.monotonicMillis())));
        }
    }

    /** Reports changed attributes of the worker; the full report will name them if it is due. */
    void reportAttributes() {
        if (mReported == Reported.ALL_RUNS) {
            send(new NodeMessage.WorkerUpdate(mWorker.info()));
        }
    }

    void reportOutcome(TaskName task, long run, StartOutcome outcome) {
        send(new NodeMessage.Outcome(task, run, outcome));
    }

    /** Reports a start; the owner waits for nothing that depends on it, so it is not urgent. */
    void reportStarted(Run run) {
        if (mLink != null && mReported == Reported.ALL_RUNS) {
            mLink.sendLater(new NodeMessage.Outcome(run.mTask, run.mNumber, StartOutcome.STARTED));
        }
    }

    /** Handles that a worker has refused a call, as it has seen a later term. */
    void handleFenced(WorkerId worker, long term) {
        mLog.record("worker.fenced", worker, "term", mTerm);
        if (mLink != null && term == mTerm) {
            mLink.close("the worker has seen a later term than " + mTerm);
        }
    }

    private void send(NodeMessage message) {
        if (mLink != null) {
            mLink.send(message);
        }
    }
}
