package org.knapweedbank.node.agent;

import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Decides which worker takes the calls on the VM: it joins, starts again under its identifier,
 * leaves, or is lost. Only this class sets another worker.
 */
final class WorkerLifecycle {
    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;
    private final LeaseAuthority mAuthority;
    private final OwnerChannel mOwner;
    private final StopOrders mStops;
    private final LeaseRenewals mRenewals;
    private final WorkerProbe mProbe;

    /** Worker that has left last; null if none has. */
    private WorkerId mLeftWorker;

    WorkerLifecycle(
            Clock clock,
            Timers timers,
            WorkerClient workerClient,
            DecisionLog log,
            KnownWorker worker,
            OwnerChannel owner,
            StopOrders stops,
            LeaseRenewals renewals) {
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mWorker = worker;
        mRuns = worker.runs();
        mAuthority = worker.authority();
        mOwner = owner;
        mStops = stops;
        mRenewals = renewals;
        mProbe = new WorkerProbe(clock, timers, workerClient, log, new ProbeListener());
    }

    /** Handles that an owner has connected, under whose term the worker is called. */
    void handleOwner() {
        mRenewals.restart();
        mProbe.setTerm(mOwner.term());
    }

    /** Handles a status report. */
    void handleReport(StatusReport report) {
        WorkerInfo info = report.worker();
        if (info.id().equals(mLeftWorker)) {
            mLog.record("worker.outdated", info.id(), "reason", "the worker has left");
            return;
        }
        if (mWorker.is(info.id())) {
            updateWorker(report);
        } else if (isOutdated(info)) {
            mLog.record("worker.outdated", info.id(), "present", mWorker.id());
        } else {
            mProbe.announce(report);
        }
    }

    /**
     * Returns whether a worker must have ended, as it started before the known one. Once nothing
     * can run on the VM any more, a start time shows nothing: the clock may have been set back.
     */
    private boolean isOutdated(WorkerInfo info) {
        return startedBeforeKnown(info) && !mOwner.noWorkerStated();
    }

    private boolean startedBeforeKnown(WorkerInfo info) {
        return mWorker.isPresent() && info.id().incarnation() < mWorker.id().incarnation();
    }

    /** Updates the attributes of the known worker. */
    private void updateWorker(StatusReport report) {
        WorkerInfo info = report.worker();
        if (!mWorker.isNewer(report)) {
            return;
        }
        boolean joins = !mWorker.attributesKnown();
        if (!joins && !info.service().equals(mWorker.info().service())) {
            mLog.record("worker.rejected", info.id(), "other_service", info.service());
            return;
        }
        boolean changed = !mWorker.info().equals(info);
        mWorker.update(report);
        if (joins) {
            mLog.record("worker.joined", info.id(), "service", info.service());
            mRenewals.restart();
        } else if (changed) {
            mLog.record("worker.update", info.id(), "draining", info.draining());
            mOwner.reportAttributes();
        }
    }

    /** Handles a worker's notice that it is shutting down. */
    void handleNotice(String id, OptionalLong incarnation, Runnable confirm) {
        if (mWorker.isPresent() && isLeaving(mWorker.info(), id, incarnation)) {
            beginDeparture(confirm);
            return;
        }
        WorkerInfo candidate = mProbe.candidate();
        if (candidate != null && isLeaving(candidate, id, incarnation)) {
            mLeftWorker = candidate.id();
            mProbe.discard();
        }
        confirm.run();
    }

    /**
     * Returns whether a notice is that of a worker. One that names no incarnation may have been
     * delayed and come from an earlier one; a worker reports that it drains before it leaves.
     */
    private static boolean isLeaving(WorkerInfo worker, String id, OptionalLong incarnation) {
        boolean isIncarnation =
                incarnation.isPresent()
                        ? incarnation.getAsLong() == worker.id().incarnation()
                        : worker.draining();
        return worker.id().id().equals(id) && isIncarnation;
    }

    /** Begins the departure of the worker, or delays the confirmation of a repeated notice. */
    private void beginDeparture(Runnable confirm) {
        if (mWorker.isLeaving()) {
            mWorker.departure().add(confirm);
            return;
        }
        mLog.record("worker.leaving", mWorker.id(), "runs", mRuns.runs().size());
        WorkerDeparture departure = new WorkerDeparture(mClock, mTimers);
        mWorker.beginDeparture(departure);
        departure.add(confirm);
        mStops.stopAll();
        mRenewals.restart();
    }

    /** Continues a departure after lists of the worker have been applied. */
    void handleLists(LeaseRenewalReply.Renewed renewed, ListRequest request) {
        if (mWorker.isLeaving()) {
            mStops.stopAll();
            if (renewed.conclusive()) {
                completeDepartureIfIdle(request);
            }
        }
    }

    /**
     * Completes the departure if lists that were requested after the notice show that nothing runs
     * on the worker. Ends that the owner has not stored delay this for a short time, as the worker
     * forgets them when it ends.
     */
    private void completeDepartureIfIdle(ListRequest request) {
        WorkerDeparture departure = mWorker.departure();
        boolean idle = departure.precedes(request.sentAtMillis()) && mRuns.runs().isEmpty();
        if (idle && (mRuns.unacknowledged().isEmpty() || departure.isConfirmationDue())) {
            completeDeparture("nothing runs on it any more");
        }
    }

    /**
     * Completes the departure after the worker's address has shown that it has ended. An order
     * without an answer may still reach a next incarnation under its identifier.
     */
    void handleEnded(String evidence) {
        if (mWorker.isLeaving() && mRuns.starting().isEmpty()) {
            completeDeparture(evidence);
        }
    }

    private void completeDeparture(String evidence) {
        mLog.record("worker.left", mWorker.id(), "evidence", evidence);
        mLeftWorker = mWorker.id();
        mWorker.remove();
        handleReplacement(false);
        mOwner.stateNoWorker("the worker has left: " + evidence);
    }

    /**
     * Changes to an incarnation that answers under the identifier of the known one, which has ended
     * with all its runs. Nothing is started on it and none of its ends is acknowledged until its
     * status report names its attributes and its lists have been reported to the owner.
     */
    void handleRestart(long incarnation) {
        WorkerId restarted = new WorkerId(mWorker.id().id(), incarnation);
        mLog.record("worker.restarted", restarted, "previous", mWorker.id().incarnation());
        mWorker.restart(restarted);
        handleReplacement(false);
        mRenewals.restart();
    }

    /** Handles that the worker has started again and taken a deadline of its predecessor. */
    void handleDeadlineTaken() {
        mWorker.setAnswers(false);
        mAuthority.excessLease().recordDeadlineTaken();
        mRenewals.restart();
    }

    /** Ends what concerns the previous worker, after another one, or none, has been set. */
    private void handleReplacement(boolean startedEarlier) {
        mOwner.workerReplaced(startedEarlier);
        mRenewals.stop();
    }

    /** Checks whether leases on the VM may last. */
    void checkLeases() {
        if (!mOwner.noWorkerStated() && mAuthority.allLeasesExpired()) {
            handleLeaseExpiry();
        }
    }

    /** Gives up the runs on the VM, as every lease on it has expired. */
    private void handleLeaseExpiry() {
        mLog.record(
                "worker.lost",
                mWorker.isPresent() ? mWorker.id() : "unknown",
                "silent_ms",
                mAuthority.silence().toMillis());
        if (mWorker.isLeaving()) {
            completeDeparture("its lease has ended");
            return;
        }
        mRuns.runs().clear();
        mOwner.stateNoWorker(
                mWorker.isPresent()
                        ? "silent until its lease ended"
                        : "no worker has answered for the time of a lease");
    }

    /** Accepts the worker that has answered a call as the one of this VM. */
    private final class ProbeListener implements WorkerProbe.Listener {
        @Override
        public void answered(StatusReport report) {
            WorkerInfo info = report.worker();
            if (mWorker.is(info.id())) {
                updateWorker(report);
                return;
            }
            if (isOutdated(info)) {
                mLog.record("worker.outdated", info.id(), "present", mWorker.id());
                return;
            }
            boolean startedEarlier = startedBeforeKnown(info);
            mLog.record("worker.joined", info.id(), "service", info.service());
            mWorker.replace(report);
            handleReplacement(startedEarlier);
            mRenewals.restart();
        }

        @Override
        public void fenced(WorkerId worker, long term) {
            mOwner.handleFenced(worker, term);
        }
    }
}
