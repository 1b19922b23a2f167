package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.jobs.RunStatus;

/**
 * Moves the serving tasks of VMs with few serving tasks to VMs with more of them, when fillers lack
 * processor time.
 *
 * <p>Serving tasks that are started and stopped over time end up spread over all VMs, and a single
 * one with little headroom causes all fillers of its VM to be throttled heavily. A move costs one
 * task about a second of service, and a VM without serving tasks then runs its fillers at full
 * speed. Only one VM is emptied at a time and only one task of each step is moved at a time, within
 * the disruption budget of the step.
 */
final class ServingConsolidator {
    /**
     * Minimum time between two selections of a VM, and after a VM was emptied or its emptying was
     * abandoned.
     */
    private static final long SELECTION_INTERVAL_MILLIS = 1_500;

    /** Time after which the emptying of a VM is abandoned; the remaining serving tasks stay. */
    private static final long TIMEOUT_MILLIS = 6_000;

    /** Share of a VM reserved by serving tasks above which the VM is not emptied. */
    private static final double MAX_SERVING_SHARE = 0.45;

    /**
     * Processor time that fillers lack, as a share of the VM, below which the VM is not emptied.
     */
    private static final double MIN_UNMET_DEMAND_SHARE = 0.5;

    /** Number of moves after which a task is left on its VM. */
    private static final int MAX_MOVES = 3;

    private final OwnerState mState;
    private final RunTracker mRunTracker;

    /** VM that is being emptied of serving tasks; null if there is none. */
    private Vm mSourceVm;

    /** Monotonic time in milliseconds at which the emptying of the VM is abandoned. */
    private long mDeadline;

    private long mNextSelectionAt;

    ServingConsolidator(OwnerState state, RunTracker runTracker) {
        mState = state;
        mRunTracker = runTracker;
    }

    /**
     * Continues to empty the selected VM, or selects one.
     *
     * @param vms VMs that may get start orders now
     */
    void advance(Collection<Vm> vms) {
        if (mSourceVm != null
                && (mSourceVm.mServingMilliCpu == 0
                        || !vms.contains(mSourceVm)
                        || mState.now() > mDeadline)) {
            mSourceVm.mConsolidating = false;
            mSourceVm = null;
            mNextSelectionAt = mState.now() + SELECTION_INTERVAL_MILLIS;
        }
        if (mSourceVm == null && mState.now() >= mNextSelectionAt) {
            mNextSelectionAt = mState.now() + SELECTION_INTERVAL_MILLIS;
            selectVm(vms).ifPresent(this::begin);
        }
        if (mSourceVm != null) {
            moveTasks(vms);
        }
    }

    private void begin(Vm vm) {
        mSourceVm = vm;
        mSourceVm.mConsolidating = true;
        mDeadline = mState.now() + TIMEOUT_MILLIS;
        mState.mLog.record(
                "vm.consolidate",
                vm.mAgent.value(),
                "serving_cpu",
                vm.mServingMilliCpu,
                "lacking_cpu",
                unmetMilliCpu(serviceOf(vm)));
    }

    /**
     * Selects the VM with the fewest reservations of serving tasks, if emptying it helps fillers
     * and is possible.
     */
    private Optional<Vm> selectVm(Collection<Vm> vms) {
        Map<String, Long> unmetByService = new HashMap<>();
        return vms.stream()
                .filter(vm -> vm.mServingMilliCpu > 0 && servingShare(vm) <= MAX_SERVING_SHARE)
                .filter(
                        vm ->
                                unmetByService.computeIfAbsent(serviceOf(vm), this::unmetMilliCpu)
                                        >= capacityMilliCpu(vm) * MIN_UNMET_DEMAND_SHARE)
                .filter(vm -> fitsElsewhere(vm, vms))
                .min(
                        Comparator.comparingDouble(ServingConsolidator::servingShare)
                                .thenComparing(vm -> vm.mAgent.value()));
    }

    /**
     * Returns the processor time that fillers of a service lack, either because they wait for a VM
     * or because they are starved where they run, in thousandths of a core.
     */
    private long unmetMilliCpu(String service) {
        long starved =
                mState.mVms.values().stream()
                        .filter(vm -> vm.mWorker != null && serviceOf(vm).equals(service))
                        .flatMap(vm -> vm.starvedFillers().stream())
                        .mapToLong(run -> run.mTask.mStep.mSpec.perTask().milliCpu())
                        .sum();
        long waiting =
                mState.unfinishedJobs().stream()
                        .filter(Job::stored)
                        .filter(job -> job.queue().service().equals(service))
                        .flatMap(Job::steps)
                        .filter(step -> step.mSpec.traits().filler())
                        .filter(Step::hasReadyTasks)
                        .mapToLong(step -> step.mWaitingTasks * step.mSpec.perTask().milliCpu())
                        .sum();
        return starved + waiting;
    }

    /**
     * Returns whether all serving tasks of a VM may move and fit on other VMs with serving tasks.
     */
    private boolean fitsElsewhere(Vm vm, Collection<Vm> vms) {
        Map<Vm, Long> assignedMilliCpu = new HashMap<>();
        for (Run run : servingRuns(vm)) {
            long milliCpu = run.mTask.mStep.mSpec.reservation().milliCpu();
            Optional<Vm> target =
                    canMove(run)
                            ? findTargets(run, vms).stream()
                                    .filter(
                                            t ->
                                                    t.unreserved().milliCpu()
                                                                    - assignedMilliCpu.getOrDefault(
                                                                            t, 0L)
                                                            >= milliCpu)
                                    .findFirst()
                            : Optional.empty();
            if (target.isEmpty()) {
                return false;
            }
            assignedMilliCpu.merge(target.get(), milliCpu, Long::sum);
        }
        return true;
    }

    private void moveTasks(Collection<Vm> vms) {
        for (Run run : servingRuns(mSourceVm)) {
            List<Vm> targets = findTargets(run, vms);
            if (canMove(run) && !targets.isEmpty()) {
                mRunTracker.move(
                        run, targets.getFirst(), "consolidating serving tasks on another VM");
            }
        }
    }

    /**
     * Returns the VMs that could take a serving task and have a larger share reserved by serving
     * tasks than its current VM, those with the least unreserved processor time first.
     */
    private List<Vm> findTargets(Run run, Collection<Vm> vms) {
        return vms.stream()
                .filter(vm -> vm != run.mVm && vm.mServingMilliCpu > 0)
                .filter(vm -> serviceOf(vm).equals(serviceOf(run.mVm)))
                .filter(vm -> servingShare(vm) > servingShare(run.mVm))
                .filter(
                        vm ->
                                VmSelector.allowed(
                                        run.mTask,
                                        vm,
                                        FillerRequirement.FULL_SPEED,
                                        mState.mPressureEstimator))
                .sorted(Comparator.comparingLong(vm -> vm.unreserved().milliCpu()))
                .toList();
    }

    /**
     * Returns whether a task may be stopped now: it and all other tasks of its step serve requests.
     */
    private static boolean canMove(Run run) {
        Task task = run.mTask;
        Step step = task.mStep;
        return !run.mStopping
                && task.mMoves < MAX_MOVES
                && step.mSpec.disruptionBudget() != 0
                && step.mTasks.stream()
                        .allMatch(
                                t ->
                                        t.mRun != null
                                                && !t.mRun.mStopping
                                                && t.mRun.mProgressPercent
                                                        == RunStatus.READY_PERCENT);
    }

    /** Returns the serving tasks of a VM, the largest first. */
    private static List<Run> servingRuns(Vm vm) {
        return vm.mRuns.values().stream()
                .filter(run -> run.mTask.mStep.mSpec.serving())
                .sorted(
                        Comparator.comparingLong(
                                        (Run run) -> -run.mTask.mStep.mSpec.perTask().milliCpu())
                                .thenComparing(run -> run.mTask.mName.toString()))
                .toList();
    }

    private static String serviceOf(Vm vm) {
        return vm.mWorker.service();
    }

    private static double servingShare(Vm vm) {
        return vm.mServingMilliCpu / capacityMilliCpu(vm);
    }

    private static double capacityMilliCpu(Vm vm) {
        return Math.max(1, vm.mWorker.capacity().milliCpu());
    }
}
