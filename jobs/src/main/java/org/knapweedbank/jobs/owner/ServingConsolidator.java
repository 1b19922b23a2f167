package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Empties VMs with few serving tasks, while fillers want room, by moving those tasks together.
 *
 * <p>Answers the load of batch work beside many standing tasks that come and go: these end up
 * spread over all VMs, and a single one with little headroom holds all fillers of its VM to a
 * crawl. A move costs one task about a second of service; a VM without serving tasks gives fillers
 * their full pace from then on. One VM is emptied at a time, one task of each step at a time, and
 * only within the disruption budget of the step.
 */
final class ServingConsolidator {
    /** Pause after a VM was emptied or given up. */
    private static final long PAUSE_MILLIS = 1_500;

    /** Time in which a VM has to be empty; its serving tasks stay there if it is not. */
    private static final long LIMIT_MILLIS = 6_000;

    /** Share of a VM reserved by serving tasks above which it is not worth emptying. */
    private static final double MAX_SERVING_SHARE = 0.45;

    /** Processor time that fillers lack, as a share of the VM, from which emptying it pays. */
    private static final double LEAST_DEMAND_SHARE = 0.5;

    private static final int MAX_MOVES = 3;
    private static final int AT_WORK = 100;

    private final OwnerState mState;
    private final AttemptTracker mAttempts;
    private Vm mVm;
    private long mLimit;
    private long mNext;

    ServingConsolidator(OwnerState state, AttemptTracker attempts) {
        mState = state;
        mAttempts = attempts;
    }

    /** Goes on emptying a VM, or chooses one. */
    void advance(Collection<Vm> vms) {
        if (mVm != null && (mVm.mServingCpu == 0 || !vms.contains(mVm) || mState.now() > mLimit)) {
            mVm.mEmptying = false;
            mVm = null;
            mNext = mState.now() + PAUSE_MILLIS;
        }
        if (mVm == null && mState.now() >= mNext) {
            mNext = mState.now() + PAUSE_MILLIS;
            choose(vms).ifPresent(this::begin);
        }
        if (mVm != null) {
            moveTasks(vms);
        }
    }

    private void begin(Vm vm) {
        mVm = vm;
        mVm.mEmptying = true;
        mLimit = mState.now() + LIMIT_MILLIS;
        mState.mLog.record(
                "vm.consolidate",
                vm.mAgent.value(),
                "serving_cpu",
                vm.mServingCpu,
                "lacking_cpu",
                lackingCpu(service(vm)));
    }

    private Optional<Vm> choose(Collection<Vm> vms) {
        Map<String, Long> lacking = new HashMap<>();
        return vms.stream()
                .filter(vm -> vm.mServingCpu > 0 && servingShare(vm) <= MAX_SERVING_SHARE)
                .filter(
                        vm ->
                                lacking.computeIfAbsent(service(vm), this::lackingCpu)
                                        >= capacity(vm) * LEAST_DEMAND_SHARE)
                .filter(vm -> fitsElsewhere(vm, vms))
                .min(
                        Comparator.comparingDouble(ServingConsolidator::servingShare)
                                .thenComparing(vm -> vm.mAgent.value()));
    }

    /** Processor time that ready fillers of a service wait for or do not get where they run. */
    private long lackingCpu(String service) {
        long starved =
                mState.mVms.values().stream()
                        .filter(vm -> vm.mWorker != null && service(vm).equals(service))
                        .flatMap(vm -> vm.mAttempts.values().stream())
                        .filter(a -> a.mTask.mStep.mSpec.traits().filler())
                        .filter(a -> a.mStarvedReports > 0)
                        .mapToLong(a -> a.mTask.mStep.mSpec.perTask().milliCpu())
                        .sum();
        long waiting =
                mState.mJobs.values().stream()
                        .filter(job -> job.stored() && !job.finished())
                        .filter(job -> job.queue().service().equals(service))
                        .flatMap(job -> job.mOccurrences.stream())
                        .flatMap(occurrence -> occurrence.mSteps.stream())
                        .filter(step -> step.mSpec.traits().filler())
                        .filter(step -> step.mWaiting > 0 && step.ready())
                        .mapToLong(step -> step.mWaiting * step.mSpec.perTask().milliCpu())
                        .sum();
        return starved + waiting;
    }

    /** Tells whether all serving tasks of a VM may move and find room beside other ones. */
    private boolean fitsElsewhere(Vm vm, Collection<Vm> vms) {
        Map<Vm, Long> taken = new HashMap<>();
        for (Attempt attempt : serving(vm)) {
            long cpu = attempt.mTask.mStep.mSpec.reservation().milliCpu();
            Optional<Vm> target =
                    movable(attempt)
                            ? targets(attempt, vms).stream()
                                    .filter(
                                            t ->
                                                    t.free().milliCpu() - taken.getOrDefault(t, 0L)
                                                            >= cpu)
                                    .findFirst()
                            : Optional.empty();
            if (target.isEmpty()) {
                return false;
            }
            taken.merge(target.get(), cpu, Long::sum);
        }
        return true;
    }

    private void moveTasks(Collection<Vm> vms) {
        for (Attempt attempt : serving(mVm)) {
            List<Vm> targets = targets(attempt, vms);
            if (movable(attempt) && !targets.isEmpty()) {
                mAttempts.move(attempt, targets.getFirst(), "moved to other serving tasks");
            }
        }
    }

    /** VMs with serving tasks that could take a task, the tightest first. */
    private List<Vm> targets(Attempt attempt, Collection<Vm> vms) {
        return vms.stream()
                .filter(vm -> vm != attempt.mVm && vm.mServingCpu > 0)
                .filter(vm -> service(vm).equals(service(attempt.mVm)))
                .filter(vm -> servingShare(vm) > servingShare(attempt.mVm))
                .filter(
                        vm ->
                                VmSelector.allowed(
                                        attempt.mTask,
                                        vm,
                                        FillerPatience.FULL_PACE,
                                        mState.mPressure))
                .sorted(Comparator.comparingLong(vm -> vm.free().milliCpu()))
                .toList();
    }

    /**
     * Tells whether a task may be stopped now: it is at work, and so are all others of its step.
     */
    private static boolean movable(Attempt attempt) {
        Task task = attempt.mTask;
        Step step = task.mStep;
        return !attempt.mStopping
                && task.mMoves < MAX_MOVES
                && step.mSpec.disruptionBudget() != 0
                && step.mTasks.stream()
                        .allMatch(
                                t ->
                                        t.mAttempt != null
                                                && !t.mAttempt.mStopping
                                                && t.mAttempt.mPercent == AT_WORK);
    }

    private static List<Attempt> serving(Vm vm) {
        return vm.mAttempts.values().stream()
                .filter(attempt -> attempt.mTask.mStep.mSpec.serving())
                .sorted(
                        Comparator.comparingLong(
                                        (Attempt a) -> -a.mTask.mStep.mSpec.perTask().milliCpu())
                                .thenComparing(a -> a.mTask.mName.toString()))
                .toList();
    }

    private static String service(Vm vm) {
        return vm.mWorker.service();
    }

    private static double servingShare(Vm vm) {
        return vm.mServingCpu / capacity(vm);
    }

    private static double capacity(Vm vm) {
        return Math.max(1, vm.mWorker.capacity().milliCpu());
    }
}
