package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Calls a worker that a status report has announced, to find out whether it takes the calls on this
 * VM. The report alone does not show it: it may be delayed or come from another process.
 */
final class WorkerProbe {
    /**
     * Time after a status report for which a worker that does not answer is called again. Workers
     * report themselves more often.
     */
    private static final Duration MAX_PROBE_TIME = Duration.ofSeconds(3);

    private final Clock mClock;
    private final Timers mTimers;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final Listener mListener;

    /** Newest status report of a worker that has not answered yet; null if there is none. */
    private StatusReport mCandidate;

    private long mReportedAtMillis;
    private long mTerm;

    /**
     * Identifies the current series of calls; unanswered calls of earlier ones are not repeated.
     */
    private int mSeries;

    /** Receives what the calls show. */
    interface Listener {
        /**
         * Handles that the announced worker has answered. The lists in its answer are not passed
         * on: the worker may have started runs since it made them, on an order for an earlier
         * incarnation of its identifier.
         *
         * @param report newest status report of the worker
         */
        void answered(StatusReport report);

        /**
         * Handles that the announced worker has seen a later term.
         *
         * @param worker the worker
         * @param term term of the call
         */
        void fenced(WorkerId worker, long term);
    }

    WorkerProbe(
            Clock clock,
            Timers timers,
            WorkerClient workerClient,
            DecisionLog log,
            Listener listener) {
        mClock = clock;
        mTimers = timers;
        mWorkerClient = workerClient;
        mLog = log;
        mListener = listener;
    }

    /** Calls the worker of a status report, unless a later report of it is known. */
    void announce(StatusReport report) {
        boolean outdated =
                isCandidate(report.worker().id()) && mCandidate.sequence() >= report.sequence();
        if (!outdated) {
            mCandidate = report;
            mReportedAtMillis = mClock.monotonicMillis();
            call();
        }
    }

    /** Repeats the call under the term of a new owner; before the first one no call is sent. */
    void setTerm(long term) {
        mTerm = term;
        call();
    }

    /** Returns the worker that has been announced and has not answered; null if there is none. */
    WorkerInfo candidate() {
        return mCandidate == null ? null : mCandidate.worker();
    }

    /** Gives up the announced worker. */
    void discard() {
        mCandidate = null;
    }

    private boolean isCandidate(WorkerId worker) {
        return mCandidate != null && mCandidate.worker().id().equals(worker);
    }

    /** Calls without extending a lease or acknowledging an end, as another worker may answer. */
    private void call() {
        mSeries++;
        if (mCandidate == null || mTerm == 0) {
            return;
        }
        int series = mSeries;
        long term = mTerm;
        WorkerId worker = candidate().id();
        mWorkerClient.renewLease(
                new LeaseRenewalRequest(worker, term, 0, OptionalLong.empty(), Duration.ZERO),
                reply -> handleReply(series, worker, term, reply));
    }

    private void handleReply(int series, WorkerId worker, long term, LeaseRenewalReply reply) {
        if (!isCandidate(worker)) {
            return;
        }
        switch (reply) {
            case LeaseRenewalReply.Renewed renewed
                    when renewed.incarnation() == worker.incarnation() -> {
                StatusReport report = mCandidate;
                mCandidate = null;
                mListener.answered(report);
            }
            case LeaseRenewalReply.Renewed other -> reject(worker, other.incarnation());
            case LeaseRenewalReply.OtherWorker ignored -> reject(worker, "another worker");
            case LeaseRenewalReply.Fenced ignored -> mListener.fenced(worker, term);
            case LeaseRenewalReply.NoAnswer none -> handleSilence(series, worker, none.reason());
            case LeaseRenewalReply.NotListening none ->
                    handleSilence(series, worker, none.reason());
        }
    }

    private void handleSilence(int series, WorkerId worker, String reason) {
        mLog.record("worker.silent", worker, "cause", reason);
        mTimers.after(LeaseRenewals.RETRY_DELAY, () -> repeat(series));
    }

    private void reject(WorkerId worker, Object answeredBy) {
        mLog.record("worker.rejected", worker, "calls_answered_by", answeredBy);
        mCandidate = null;
    }

    private void repeat(int series) {
        long waitedMillis = mClock.monotonicMillis() - mReportedAtMillis;
        if (series == mSeries && waitedMillis < MAX_PROBE_TIME.toMillis()) {
            call();
        }
    }
}
