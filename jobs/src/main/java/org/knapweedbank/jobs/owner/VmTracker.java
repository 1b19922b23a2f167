package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * Tracks the VMs: the current worker of each, its runs, and the tasks that may still run on
 * unreachable VMs.
 */
final class VmTracker {
    /** Interval of the search for unreachable VMs, in milliseconds. */
    private static final long UNREACHABLE_CHECK_MILLIS = 100;

    private final OwnerState mState;
    private final RunTracker mRunTracker;
    private final VmList mVmList;
    private final EarlierOwners mEarlierOwners;
    private final LeaseEnds mLeaseEnds;
    private final UnresolvedVms mUnresolvedVms;
    private final UnreachableTimes mUnreachableTimes;
    private final RunReconciler mReconciler;
    private final PressureSampler mPressureSampler;
    private final ProfileSender mProfileSender;
    private final HangDetector mHangDetector;

    /** Monotonic time in milliseconds of the last search for unreachable VMs. */
    private long mUnreachableCheckedAt = Long.MIN_VALUE / 2;

    VmTracker(
            OwnerState state, RunTracker runTracker, VmList list, Duration formerOwnerConfirmable) {
        mState = state;
        mRunTracker = runTracker;
        mVmList = list;
        mEarlierOwners = new EarlierOwners(state, formerOwnerConfirmable);
        mLeaseEnds = new LeaseEnds(state, mEarlierOwners, list);
        mUnresolvedVms = new UnresolvedVms(state, list, mLeaseEnds);
        mUnreachableTimes = new UnreachableTimes(state, list, mLeaseEnds);
        mReconciler = new RunReconciler(state, runTracker);
        mPressureSampler = new PressureSampler(state);
        mProfileSender = new ProfileSender(state);
        mHangDetector = new HangDetector(state, runTracker);
    }

    VmList vmList() {
        return mVmList;
    }

    /**
     * Returns whether a task that an earlier owner may have started could still run on a VM that
     * has not reported yet.
     */
    boolean hasUnresolvedVms() {
        return mUnresolvedVms.hasUnresolvedVms();
    }

    /**
     * Records that no earlier owner answers an agent after a monotonic time in milliseconds.
     *
     * @param evidence what shows it, for the log
     */
    void limitEarlierOwners(long untilMillis, String evidence) {
        if (mEarlierOwners.limitAnswers(untilMillis)) {
            mState.mLog.record(
                    "earlier_owners.limited",
                    mState.mTerm,
                    "remaining_ms",
                    untilMillis - mState.now(),
                    "evidence",
                    evidence);
        }
    }

    /** Handles the full state of a VM and aligns the tracked runs with it. */
    void handleReport(
            DaemonId agent, DataCentreId dataCentre, AgentReport report, OrderCoverage coverage) {
        Vm vm = mState.mVms.computeIfAbsent(agent, id -> new Vm(id, dataCentre, mState.mClock));
        vm.mConnected = true;
        if (report.worker().isEmpty() || outdated(vm, report.worker().get())) {
            return;
        }
        logReport(vm, report, coverage);
        List<Run> unconfirmedRuns =
                RunReconciler.unconfirmedOnEarlierIncarnation(vm, report.worker().get().id());
        acceptWorker(vm, report.worker().get(), report.excessLeaseRuledOut());
        vm.recordLists(coverage, mState.now());
        report.ended().forEach(end -> mRunTracker.handleEnd(vm, end));
        report.running().forEach(listedRun -> mReconciler.reconcile(vm, listedRun, true));
        report.starting().forEach(listedRun -> mReconciler.reconcile(vm, listedRun, false));
        unconfirmedRuns.forEach(run -> mReconciler.revokeUnlessAdopted(vm, run));
        if (report.listed()) {
            mUnresolvedVms.resolve(vm.mAgent);
            Stream<RunStatus> present =
                    Stream.concat(report.starting().stream(), report.running().stream());
            mReconciler.releaseAbsent(vm, taskNames(present), coverage);
            report.running().forEach(listedRun -> mReconciler.markReported(vm, listedRun));
        }
        vm.updateStarvedFillers();
        vm.mRuns.values().forEach(mProfileSender::sendProfile);
        addToList(vm);
        mState.mOutput.acknowledgeEnds(vm.mAgent, vm.advanceAcknowledgedEnd());
    }

    private void logReport(Vm vm, AgentReport report, OrderCoverage coverage) {
        mState.mLog.record(
                "vm.report",
                vm.mAgent.value(),
                "worker",
                report.worker().get().id(),
                "known_worker",
                vm.mWorker == null ? "none" : vm.mWorker.id(),
                "covers",
                coverage,
                "listed",
                report.listed(),
                "starting",
                report.starting().size(),
                "running",
                report.running().size(),
                "ended",
                report.ended().size());
    }

    /** Handles the complete list of a worker's runs. */
    void handleProgress(
            DaemonId agent,
            WorkerId worker,
            List<RunStatus> starting,
            List<RunStatus> running,
            OrderCoverage coverage) {
        Vm vm = mState.mVms.get(agent);
        if (vm == null || !vm.hasWorker(worker)) {
            return;
        }
        vm.recordLists(coverage, mState.now());
        running.forEach(listedRun -> mReconciler.reconcile(vm, listedRun, true));
        mPressureSampler.observe(vm, running);
        Set<TaskName> listed = taskNames(running.stream());
        Set<TaskName> present = taskNames(Stream.concat(starting.stream(), running.stream()));
        vm.mUnwantedTasks.retainAll(present);
        mReconciler.releaseAbsent(vm, present, coverage);
        vm.updateStarvedFillers();
        mProfileSender.sendChangedRanks(vm);
        mHangDetector.inspect(vm, listed);
    }

    void handleWorkerUpdate(DaemonId agent, WorkerInfo worker) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null && vm.hasWorker(worker.id())) {
            vm.mWorker = worker;
        }
    }

    /** Handles the statement of an agent that nothing runs on its VM, whoever started it. */
    void handleNoWorker(DaemonId agent, String reason) {
        mUnresolvedVms.resolve(agent);
        mVmList.remove(agent);
        Vm vm = mState.mVms.get(agent);
        if (vm != null && vm.mWorker != null) {
            removeWorker(vm, reason);
        }
    }

    void handleDisconnect(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null) {
            vm.mConnected = false;
        }
    }

    /**
     * Returns whether the agent may be answered. If so, records the time of the answer, which gives
     * the agent authority over the leases of the given worker for a limited time. An agent that
     * controls another worker, or none, can't renew the leases of the VM's known worker, which then
     * expire.
     */
    boolean grantAuthority(DaemonId agent, WorkerId worker) {
        Vm vm = mState.mVms.get(agent);
        if (vm == null || !vm.hasWorker(worker)) {
            return false;
        }
        vm.mAuthorityRequestedAt = mState.now();
        vm.mWorkerSilent = false;
        if (mVmList.isUnreachable(agent)) {
            mState.mLog.record("vm.reachable", agent.value());
            addToList(vm);
        }
        if (!mState.ownershipConfirmed() || mVmList.mayBeStoredUnreachable(agent)) {
            return false;
        }
        vm.mAuthorityGrantedAt = mState.now();
        return true;
    }

    /** Handles the statement of an agent that its worker does not answer. */
    void handleSilentWorker(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null) {
            vm.mWorkerSilent = true;
        }
    }

    /** Returns whether a VM has reported before and has no worker now. */
    boolean hasLostWorker(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        return vm != null && vm.mWorker == null;
    }

    /**
     * Removes the workers of VMs that have been unreachable for longer than any of their leases can
     * last.
     */
    void removeUnreachable() {
        mUnresolvedVms.releaseTasksIfResolved();
        if (mState.now() - mUnreachableCheckedAt < UNREACHABLE_CHECK_MILLIS) {
            return;
        }
        mUnreachableCheckedAt = mState.now();
        mState.mVms.values().stream()
                .filter(vm -> vm.mWorker != null && mLeaseEnds.ended(mLeaseEnds.endAt(vm)))
                .toList()
                .forEach(vm -> removeWorker(vm, "unreachable for longer than its leases"));
        mUnresolvedVms.update();
        mUnreachableTimes.update();
    }

    /** Marks VMs whose worker is in the stored list, after a version of it has been written. */
    void listStored() {
        mState.mVms.values().stream()
                .filter(vm -> vm.mWorker != null)
                .forEach(vm -> vm.mListedInStore = mVmList.isStored(vm.mAgent, vm.mWorker.id()));
    }

    /** Returns whether a worker is an earlier incarnation than the current one of the VM. */
    private boolean outdated(Vm vm, WorkerInfo worker) {
        return vm.mWorker != null && vm.mWorker.id().incarnation() > worker.id().incarnation();
    }

    /**
     * Sets the reported worker of a VM. A new incarnation means that all runs of the previous one
     * have ended.
     */
    private void acceptWorker(Vm vm, WorkerInfo worker, boolean excessLeaseRuledOut) {
        if (vm.hasWorker(worker.id())) {
            vm.mWorker = worker;
            return;
        }
        if (vm.mWorker != null) {
            mRunTracker.releaseAll(vm, "worker restarted");
            boolean sameId = vm.mWorker.id().id().equals(worker.id().id());
            vm.mExcessLeaseUntil =
                    sameId && !excessLeaseRuledOut
                            ? mState.now() + mState.mSettings.restartedLeaseTimeout().toMillis()
                            : Long.MIN_VALUE;
        }
        vm.replaceWorker(worker);
        vm.mAuthorityGrantedAt = mState.now();
        vm.mAuthorityRequestedAt = mState.now();
        vm.mWorkerSilent = false;
        mState.mLog.record(
                "vm.joined",
                vm.mAgent.value(),
                "worker",
                worker.id(),
                "service",
                worker.service(),
                "cpu",
                worker.capacity().milliCpu());
    }

    /** Adds a VM with its current worker to the VM list. */
    private void addToList(Vm vm) {
        mVmList.put(vm.mAgent, vm.mWorker.id());
        vm.mListedInStore = mVmList.isStored(vm.mAgent, vm.mWorker.id());
    }

    /** Releases all runs of a VM and removes the VM from the list. */
    private void removeWorker(Vm vm, String reason) {
        mState.mLog.record("vm.lost", vm.mAgent.value(), "reason", reason);
        mRunTracker.releaseAll(vm, reason);
        vm.mWorker = null;
        vm.mListedInStore = false;
        mVmList.remove(vm.mAgent);
    }

    private static Set<TaskName> taskNames(Stream<RunStatus> runs) {
        return runs.map(RunStatus::task).collect(Collectors.toSet());
    }
}
