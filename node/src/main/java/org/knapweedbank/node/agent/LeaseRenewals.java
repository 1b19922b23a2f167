package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Renews the lease of the known worker, as far as the owner has granted, in a series of calls. Each
 * reply lists the runs on the worker and leads to the next call.
 */
final class LeaseRenewals {
    /** Delay before the next call after the worker did not answer. */
    static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /**
     * Maximum delay of the next lease renewal while the owner has not acknowledged all reported
     * ends. Without it the worker, which answers at once while it has ends to report, would list
     * the same ends again.
     */
    private static final Duration MAX_ACKNOWLEDGEMENT_WAIT = Duration.ofMillis(100);

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final KnownWorker mWorker;
    private final LeaseAuthority mAuthority;
    private final OwnerChannel mOwner;
    private final Listener mListener;

    /** Identifies the current series of lease renewals; replies to earlier series continue none. */
    private int mPollId;

    private Runnable mResumePolling = () -> {};
    private boolean mPollingPaused;

    /** Receives what the replies show. */
    interface Listener {
        /**
         * Handles the lists of the known worker.
         *
         * @param renewed the reply with the lists
         * @param request circumstances under which they were requested
         */
        void listed(LeaseRenewalReply.Renewed renewed, ListRequest request);

        /**
         * Handles that the worker has started again under its identifier.
         *
         * @param incarnation incarnation that has answered
         */
        void restarted(long incarnation);

        /**
         * Handles that the worker's process has ended.
         *
         * @param evidence what shows it, for the log
         */
        void ended(String evidence);
    }

    LeaseRenewals(
            AgentSettings settings,
            Clock clock,
            Timers timers,
            WorkerClient workerClient,
            DecisionLog log,
            KnownWorker worker,
            OwnerChannel owner,
            Listener listener) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mWorkerClient = workerClient;
        mLog = log;
        mWorker = worker;
        mAuthority = worker.authority();
        mOwner = owner;
        mListener = listener;
    }

    /** Starts a new series of lease renewals with one that the worker answers at once. */
    void restart() {
        stop();
        if (mWorker.isPresent() && mOwner.term() > 0) {
            renewLease(mPollId, Duration.ZERO);
        }
    }

    /** Ends the current series. */
    void stop() {
        mPollId++;
    }

    /** Ends the pause in which the owner acknowledges ends, if there is one. */
    void resume() {
        if (mPollingPaused) {
            mResumePolling.run();
        }
    }

    private void renewLease(int pollId, Duration maxWait) {
        if (pollId != mPollId) {
            return;
        }
        long sentAtMillis = mClock.monotonicMillis();
        boolean withNumbers = mayCarryNumbers();
        OptionalLong leaseEndMillis = withNumbers ? allowedLeaseEndMillis() : OptionalLong.empty();
        if (leaseEndMillis.isPresent()) {
            mAuthority.excessLease().recordDeadlineSent();
        }
        ListRequest lists = new ListRequest(mOwner.term(), sentAtMillis, mAuthority.newestGrant());
        WorkerId worker = mWorker.id();
        long acknowledgedEnd = withNumbers ? mWorker.runs().highestAcknowledged() : 0;
        LeaseRenewalRequest request =
                new LeaseRenewalRequest(
                        worker, mOwner.term(), acknowledgedEnd, leaseEndMillis, maxWait);
        mWorkerClient.renewLease(request, reply -> handleReply(pollId, worker, lists, reply));
    }

    /**
     * Returns whether a call may carry a deadline and the number of an acknowledged end. The worker
     * may have started again since it last answered. A new incarnation would discard ends that
     * nobody has read, as it numbers them from 1 again, and would take a deadline on the clock of
     * its predecessor for one far ahead. An overdue worker keeps its ends, as their tasks may run
     * elsewhere.
     */
    private boolean mayCarryNumbers() {
        return mWorker.answers() && !mAuthority.excessLease().isOverdue();
    }

    /** Returns until when the lease may be extended, empty if it must not be. */
    private OptionalLong allowedLeaseEndMillis() {
        long leaseEndMillis = mAuthority.leaseEndMillis();
        return !mWorker.isLeaving() && leaseEndMillis > mAuthority.workerClockMillis()
                ? OptionalLong.of(leaseEndMillis)
                : OptionalLong.empty();
    }

    private void handleReply(
            int pollId, WorkerId worker, ListRequest lists, LeaseRenewalReply reply) {
        if (!mWorker.is(worker)) {
            return;
        }
        if (reply instanceof LeaseRenewalReply.Renewed renewed
                && renewed.incarnation() > worker.incarnation()) {
            mListener.restarted(renewed.incarnation());
            return;
        }
        mWorker.setAnswers(
                reply instanceof LeaseRenewalReply.Renewed renewed
                        && renewed.incarnation() == worker.incarnation());
        switch (reply) {
            case LeaseRenewalReply.Renewed renewed -> {
                boolean wasSilent = mAuthority.silent();
                if (mWorker.answers()
                        && mAuthority.updateWorkerClock(renewed.workerClockMillis())) {
                    passOnLists(renewed, lists);
                    if (wasSilent) {
                        mOwner.sendPing();
                    }
                }
                pollAfter(
                        pollId,
                        renewed.ended().isEmpty() ? Duration.ZERO : MAX_ACKNOWLEDGEMENT_WAIT);
            }
            case LeaseRenewalReply.Fenced ignored -> {
                mOwner.handleFenced(worker, lists.term());
                pollAfter(pollId, AgentSession.TICK_INTERVAL);
            }
            case LeaseRenewalReply.OtherWorker ignored -> {
                mListener.ended("another worker answers at its address");
                pollAfter(pollId, RETRY_DELAY);
            }
            case LeaseRenewalReply.NotListening none -> {
                mLog.record("worker.silent", worker, "cause", none.reason());
                mListener.ended("no process listens at its address");
                pollAfter(pollId, RETRY_DELAY);
            }
            case LeaseRenewalReply.NoAnswer none -> {
                mLog.record("worker.silent", worker, "cause", none.reason());
                pollAfter(pollId, RETRY_DELAY);
            }
        }
    }

    /** Passes on the worker's lists of runs; a failure must not end the renewals of the lease. */
    private void passOnLists(LeaseRenewalReply.Renewed renewed, ListRequest request) {
        try {
            mListener.listed(renewed, request);
        } catch (RuntimeException e) {
            mLog.record("agent.reply_failed", mWorker.id(), "cause", e);
        }
    }

    /** Renews the lease after a pause, unless a new series of renewals has been started. */
    private void pollAfter(int pollId, Duration pause) {
        if (pollId != mPollId) {
            return;
        }
        if (pause.isZero()) {
            renewLease(pollId, maxRenewalWait());
            return;
        }
        mPollingPaused = true;
        Runnable resume =
                () -> {
                    if (mPollingPaused && pollId == mPollId) {
                        mPollingPaused = false;
                        // After a renewal without an answer the worker may have started again,
                        // which its next answer shows.
                        renewLease(pollId, mWorker.answers() ? maxRenewalWait() : Duration.ZERO);
                    }
                };
        Runnable cancel = mTimers.after(pause, resume);
        mResumePolling =
                () -> {
                    cancel.run();
                    resume.run();
                };
    }

    private Duration maxRenewalWait() {
        return mWorker.isLeaving() ? WorkerDeparture.MAX_RENEWAL_WAIT : mSettings.maxRenewalWait();
    }
}
