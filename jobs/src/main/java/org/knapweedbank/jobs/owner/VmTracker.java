package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.TailLatency;
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
    /** Progress that a long-running task reports while it serves requests. */
    private static final int READY_PERCENT = 100;

    /** Share of its requested processor time below which a filler counts as starved. */
    private static final double STARVED_CPU_SHARE = 0.5;

    /** Minimum relative change of a filler's rank that is sent to its agent. */
    private static final double MIN_RANK_CHANGE = 0.1;

    /** Interval of the search for unreachable VMs, in milliseconds. */
    private static final long UNREACHABLE_CHECK_MILLIS = 100;

    /**
     * Interval at which the unreachable times of VMs are written to the VM list, in milliseconds.
     */
    private static final long UNREACHABLE_UPDATE_MILLIS = 1_000;

    /**
     * Time after a takeover during which unreachable times are not written, in milliseconds. A VM
     * that reports within it, as most do, can be answered without waiting for a write.
     */
    private static final long UNREACHABLE_STORE_DELAY_MILLIS = 3_000;

    private final OwnerState mState;
    private final RunTracker mRunTracker;
    private final VmList mVmList;
    private final HangDetector mHangDetector;

    /** VMs that earlier owners listed and that have not reported their runs to this owner yet. */
    private final Map<DaemonId, ListedVm> mUnresolvedVms;

    /**
     * Time after the takeover for which the former owner may have gone on although it has been
     * replaced, beyond what it was allowed to without a confirmation.
     */
    private final Duration mFormerOwnerDelay;

    /** True until all tasks of earlier owners are known to run on no VM that has not reported. */
    private boolean mMayRunUnreported = true;

    /** Monotonic time in milliseconds of the last search for unreachable VMs. */
    private long mUnreachableCheckedAt = Long.MIN_VALUE / 2;

    /** Monotonic time in milliseconds of the last update of the unreachable times. */
    private long mUnreachableTimesUpdatedAt;

    VmTracker(OwnerState state, RunTracker runTracker, VmList list, boolean knownToFormerOwner) {
        mState = state;
        mRunTracker = runTracker;
        mVmList = list;
        mFormerOwnerDelay = knownToFormerOwner ? Duration.ZERO : state.mSettings.maxStoreSilence();
        mHangDetector = new HangDetector(state, runTracker);
        mUnresolvedVms = new HashMap<>(list.vms());
        mUnreachableTimesUpdatedAt = state.mTakenOverAt;
    }

    VmList vmList() {
        return mVmList;
    }

    /**
     * Returns whether a task that an earlier owner may have started could still run on a VM that
     * has not reported yet.
     */
    boolean hasUnresolvedVms() {
        return mUnresolvedVms.entrySet().stream()
                .anyMatch(entry -> !leasesExpired(entry.getKey(), entry.getValue()));
    }

    /**
     * Returns whether the leases that earlier owners allowed have expired on a VM, which they do
     * not while its agent is answered.
     */
    private boolean leasesExpired(DaemonId agent, ListedVm vm) {
        Duration limit = mState.mSettings.earlierLeaseTimeout();
        return !hasReported(agent) && unreachableFor(vm).compareTo(limit) >= 0;
    }

    /**
     * Returns whether the worker of a VM is known. It stays unresolved after incomplete reports
     * only, which come while the worker has more ends than it lists at once.
     */
    private boolean hasReported(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        return vm != null && vm.mWorker != null;
    }

    /**
     * Returns how long a VM has been unreachable, summed over all terms. The time between two terms
     * does not count, nor does the time for which a former owner may have gone on.
     */
    private Duration unreachableFor(ListedVm vm) {
        long sinceTakeover = mState.now() - mState.mTakenOverAt;
        return vm.unreachableFor()
                .plusMillis(Math.max(0, sinceTakeover - mFormerOwnerDelay.toMillis()));
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
        List<Run> unconfirmedRuns = unconfirmedOnEarlierIncarnation(vm, report.worker().get().id());
        acceptWorker(vm, report.worker().get());
        report.ended().forEach(end -> mRunTracker.handleEnd(vm, end));
        report.running().forEach(listedRun -> reconcile(vm, listedRun, true));
        report.starting().forEach(listedRun -> reconcile(vm, listedRun, false));
        unconfirmedRuns.forEach(run -> revokeUnlessAdopted(vm, run));
        if (report.listed()) {
            resolve(vm.mAgent);
            Stream<RunStatus> present =
                    Stream.concat(report.starting().stream(), report.running().stream());
            releaseAbsent(vm, taskNames(present), coverage);
            report.running().forEach(listedRun -> markReported(vm, listedRun));
        }
        vm.updateStarvedFillers();
        vm.mRuns.values().forEach(this::sendProfile);
        addToList(vm);
        mState.mOutput.acknowledgeEnds(vm.mAgent, vm.advanceAcknowledgedEnd());
    }

    /** Returns the runs on an earlier incarnation of a worker whose starts are not confirmed. */
    private static List<Run> unconfirmedOnEarlierIncarnation(Vm vm, WorkerId worker) {
        boolean restarted =
                vm.mWorker != null
                        && !vm.hasWorker(worker)
                        && vm.mWorker.id().id().equals(worker.id());
        return restarted
                ? vm.mRuns.values().stream().filter(run -> !run.mStartConfirmed).toList()
                : List.of();
    }

    /**
     * Stops a run before it starts, unless the present incarnation of the worker lists it. Its
     * order may still reach that incarnation, and an agent that has started again doesn't know of
     * it.
     */
    private void revokeUnlessAdopted(Vm vm, Run run) {
        Run current = run.mTask.mRun;
        boolean adopted = current != null && current.mVm == vm && current.mNumber == run.mNumber;
        if (!adopted) {
            mState.mOutput.stop(vm.mAgent, run.mTask.mName, run.mNumber);
        }
    }

    /**
     * Records that a task runs on no other VM, as it runs on this one by a complete report: it has
     * at most one run at a time. It need not wait for the other VMs when this run ends. An
     * incomplete report does not show this, since a run in it may have ended.
     */
    private void markReported(Vm vm, RunStatus listedRun) {
        Task task = mState.findTask(listedRun.task());
        Run run = task == null ? null : task.mRun;
        if (run != null && run.mVm == vm && run.mNumber == listedRun.run()) {
            task.mMayRunUnreported = false;
        }
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
        running.forEach(listedRun -> reconcile(vm, listedRun, true));
        observePressure(vm, running);
        Set<TaskName> listed = taskNames(running.stream());
        Set<TaskName> present = taskNames(Stream.concat(starting.stream(), running.stream()));
        vm.mUnwantedTasks.retainAll(present);
        releaseAbsent(vm, present, coverage);
        vm.updateStarvedFillers();
        sendChangedRanks(vm);
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
        resolve(agent);
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
        if (!mState.ownershipConfirmed() || mVmList.mayBeStoredUnreachable(agent)) {
            return false;
        }
        vm.mAuthorityGrantedAt = mState.now();
        return true;
    }

    /**
     * Removes the workers of VMs that have been unreachable for longer than any of their leases can
     * last.
     */
    void removeUnreachable() {
        if (mMayRunUnreported && !hasUnresolvedVms()) {
            mMayRunUnreported = false;
            mState.jobs().forEach(Job::markAllReported);
        }
        if (mState.now() - mUnreachableCheckedAt < UNREACHABLE_CHECK_MILLIS) {
            return;
        }
        mUnreachableCheckedAt = mState.now();
        long limit = mState.mSettings.leaseTimeout().toMillis();
        mState.mVms.values().stream()
                .filter(vm -> vm.mWorker != null && mState.now() - vm.mAuthorityGrantedAt > limit)
                .filter(vm -> mState.now() - mState.mTakenOverAt > limit)
                .filter(vm -> mState.now() > vm.mExcessLeaseUntil)
                .toList()
                .forEach(vm -> removeWorker(vm, "unreachable for longer than its leases"));
        mUnresolvedVms.entrySet().stream()
                .filter(entry -> leasesExpired(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::resolve);
        updateUnreachableTimes();
    }

    /**
     * Updates the unreachable times in the VM list, so that a later owner does not have to wait for
     * these VMs from the start.
     */
    private void updateUnreachableTimes() {
        boolean tooEarly = mState.now() - mState.mTakenOverAt < UNREACHABLE_STORE_DELAY_MILLIS;
        if (!tooEarly && mState.now() - mUnreachableTimesUpdatedAt >= UNREACHABLE_UPDATE_MILLIS) {
            mUnreachableTimesUpdatedAt = mState.now();
            mUnresolvedVms.forEach(
                    (agent, vm) -> {
                        if (!hasReported(agent)) {
                            mVmList.setUnreachableFor(agent, unreachableFor(vm));
                        }
                    });
        }
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
    private void acceptWorker(Vm vm, WorkerInfo worker) {
        if (vm.hasWorker(worker.id())) {
            vm.mWorker = worker;
            return;
        }
        if (vm.mWorker != null) {
            mRunTracker.releaseAll(vm, "worker restarted");
            boolean sameId = vm.mWorker.id().id().equals(worker.id().id());
            vm.mExcessLeaseUntil =
                    sameId
                            ? mState.now() + mState.mSettings.restartedLeaseTimeout().toMillis()
                            : Long.MIN_VALUE;
        }
        vm.replaceWorker(worker);
        vm.mAuthorityGrantedAt = mState.now();
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

    /** Stops waiting for the report of a VM of an earlier owner. */
    private void resolve(DaemonId agent) {
        ListedVm vm = mUnresolvedVms.remove(agent);
        if (vm != null) {
            mState.mLog.record(
                    "vm.resolved",
                    agent.value(),
                    "silence_ms",
                    unreachableFor(vm).toMillis(),
                    "left",
                    mUnresolvedVms.size());
            if (!mState.mVms.containsKey(agent)) {
                mVmList.remove(agent);
            }
        }
    }

    /**
     * Compares a run that a VM lists with the tracked run of its task, and adopts, confirms or
     * stops it.
     *
     * @param confirmed true if the worker lists the run as running, false if its start is still in
     *     progress
     */
    private void reconcile(Vm vm, RunStatus listedRun, boolean confirmed) {
        Task task = mState.findTask(listedRun.task());
        if (task == null) {
            vm.mUnwantedTasks.add(listedRun.task());
            mState.mOutput.stop(vm.mAgent, listedRun.task(), listedRun.run());
            return;
        }
        Run run = task.mRun;
        if (run != null && (run.mVm != vm || run.mNumber > listedRun.run())) {
            stopDuplicate(vm, listedRun, run);
            return;
        }
        if (run == null || run.mNumber < listedRun.run()) {
            if (run != null) {
                mRunTracker.release(run);
            }
            run = mRunTracker.adopt(task, vm, listedRun.run());
        }
        if (confirmed) {
            mRunTracker.confirmStart(run);
            updateProgress(run, listedRun);
        }
        if (run.mStopping || task.mDone || task.mStep.mJob.finished()) {
            mRunTracker.stop(run, "run is no longer needed");
        }
    }

    /** Updates the pressure estimates from the utilization and processor use that a VM reports. */
    private void observePressure(Vm vm, List<RunStatus> running) {
        Map<String, Double> utilization = new HashMap<>();
        Map<String, Double> use = new HashMap<>();
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        for (RunStatus listedRun : running) {
            Task task = mState.findTask(listedRun.task());
            if (task == null) {
                continue;
            }
            var spec = task.mStep.mSpec;
            if (spec.serving() && listedRun.percent() == READY_PERCENT) {
                double relativeLatency =
                        (double) listedRun.measuredValue() / spec.latencyObjective().toMillis();
                utilization.put(
                        listedRun.task().toString(), TailLatency.utilization(relativeLatency));
            } else if (spec.traits().filler()) {
                use.merge(spec.image(), listedRun.measuredValue() / capacity, Double::sum);
            }
        }
        PressureEstimator.Sample sample = new PressureEstimator.Sample(utilization, use);
        if (vm.sample() != null) {
            mState.mPressureEstimator.observe(vm.sample(), sample);
        }
        vm.setSample(sample);
    }

    /** Records the progress and the processor use that a worker reports for a run. */
    private void updateProgress(Run run, RunStatus listedRun) {
        var spec = run.mTask.mStep.mSpec;
        if (!spec.serving()) {
            run.mTask.mStep.mJob.mUsedCoreMillis +=
                    run.recordCpuUse(listedRun.measuredValue(), mState.now());
        }
        long demand = spec.perTask().milliCpu();
        boolean starved = listedRun.measuredValue() < demand * STARVED_CPU_SHARE;
        run.mStarvedReports = starved ? run.mStarvedReports + 1 : 0;
        if (listedRun.percent() != run.mProgressPercent) {
            run.mLastProgressAt = mState.now();
            run.mTask.mStep.mJob.invalidateUrgency();
        }
        run.mProgressPercent = listedRun.percent();
        run.mCheckpoint = listedRun.checkpoint();
        run.recordInitialPercent(listedRun.percent());
        if (run.works() && run.mVm.mHealth.recordWork(run, false)) {
            mRunTracker.logRecovery(run.mVm, run.mTask);
        }
    }

    private void sendProfile(Run run) {
        var spec = run.mTask.mStep.mSpec;
        if (spec.traits().filler() || spec.serving()) {
            sendProfile(run, mState.runProfile(run));
        }
    }

    private void sendProfile(Run run, RunProfile profile) {
        run.mReportedRank = profile.rank();
        mState.mOutput.sendProfile(run.mVm.mAgent, run.mTask.mName, run.mNumber, profile);
    }

    /**
     * Sends the profiles of fillers whose rank has changed considerably to the agent of their VM.
     */
    private void sendChangedRanks(Vm vm) {
        for (Run run : vm.mRuns.values()) {
            if (!run.mTask.mStep.mSpec.traits().filler()) {
                continue;
            }
            RunProfile profile = mState.runProfile(run);
            if (rankDiffers(profile.rank(), run.mReportedRank)) {
                sendProfile(run, profile);
            }
        }
    }

    private static boolean rankDiffers(double rank, double reportedRank) {
        return Math.abs(rank - reportedRank) > MIN_RANK_CHANGE * reportedRank;
    }

    /** Stops a run of a task that has a newer run or a run on another VM. */
    private void stopDuplicate(Vm vm, RunStatus listedRun, Run run) {
        if (run.mVm != vm) {
            vm.mUnwantedTasks.add(listedRun.task());
        }
        mState.mLog.record(
                "task.duplicate",
                listedRun.task(),
                "run",
                listedRun.run(),
                "vm",
                vm.mAgent.value(),
                "kept_run",
                run.mNumber,
                "kept_vm",
                run.mVm.mAgent.value());
        mState.mOutput.stop(vm.mAgent, listedRun.task(), listedRun.run());
    }

    private static Set<TaskName> taskNames(Stream<RunStatus> runs) {
        return runs.map(RunStatus::task).collect(Collectors.toSet());
    }

    /** Releases the runs that are not present on a VM and whose orders are covered. */
    private void releaseAbsent(Vm vm, Set<TaskName> present, OrderCoverage coverage) {
        long coveredBefore = coveredBefore(coverage);
        List.copyOf(vm.mRuns.values()).stream()
                .filter(run -> !present.contains(run.mTask.mName))
                .filter(run -> run.mOrderedAt < coveredBefore)
                .forEach(run -> releaseAbsentRun(vm, run));
    }

    /** Returns the monotonic time in milliseconds before which all orders are covered. */
    private long coveredBefore(OrderCoverage coverage) {
        return switch (coverage) {
            case OrderCoverage.AllOrders all -> Long.MAX_VALUE;
            case OrderCoverage.ListsRequestedAfter lists ->
                    lists.requestedAfterMillis() - mState.mSettings.orderTimeout().toMillis();
            case OrderCoverage.NoOrders none -> Long.MIN_VALUE;
        };
    }

    /** Releases a run that its VM no longer lists. */
    private void releaseAbsentRun(Vm vm, Run run) {
        mState.mLog.record(
                "task.absent",
                run.mTask.mName,
                "run",
                run.mNumber,
                "vm",
                vm.mAgent.value(),
                "worker",
                vm.mWorker.id(),
                "confirmed",
                run.mStartConfirmed,
                "ordered_ms_ago",
                mState.now() - run.mOrderedAt);
        mRunTracker.release(run);
    }
}
