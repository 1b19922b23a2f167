package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;

/**
 * Selects the VM for a task.
 *
 * <p>Serving tasks are packed onto few VMs, so that fillers can interfere with them on few VMs
 * only. Fillers go where the most processor time is available, which includes what serving tasks
 * reserve but do not use. Fillers that interfere little leave the VMs without serving tasks to
 * those that interfere much. Other batch tasks go to the VM with the least unreserved processor
 * time that holds them, which keeps whole VMs free for fillers and for large serving tasks.
 *
 * <p>Of the VMs that may take a task, the one with the lowest score is selected.
 */
final class VmSelector {
    /**
     * Weight of interference with serving tasks in the score of a filler, relative to available
     * processor time.
     */
    private static final double INTERFERENCE_WEIGHT = 4;

    /** Utilization of a serving task up to which its latency stays well within its objective. */
    private static final double MAX_SERVING_UTILIZATION = 0.7;

    /** Pressure factor from which a filler gets no penalty on VMs without serving tasks. */
    private static final double HEAVY_PRESSURE_FACTOR = 0.4;

    /**
     * Added to the score of a VM without serving tasks, for a filler that does not interfere with
     * serving tasks; proportionally less for others.
     */
    private static final double LIGHT_FILLER_PENALTY = 1.0;

    /** Added to the score of a VM outside the preferred rack of the step. */
    private static final double REMOTE_RACK_PENALTY = 0.5;

    /** Added to the score of a VM whose serving tasks are being moved away, for a serving task. */
    private static final double CONSOLIDATION_PENALTY = 3.0;

    /** Subtracted from the score of a VM that keeps room for the task. */
    private static final double CLAIM_BONUS = 2.0;

    /** Added to the score of a VM without serving tasks, for a serving task. */
    private static final double NO_SERVING_TASK_PENALTY = 4.0;

    /** Subtracted from the score of a VM that has tasks of the same step, for a serving task. */
    private static final double SAME_STEP_BONUS = 2.0;

    /**
     * Subtracted from the score of a VM that has room for all waiting tasks of a serving step;
     * proportionally less if it has room for some of them.
     */
    private static final double STEP_FIT_BONUS = 1.0;

    /**
     * Added to the score of a VM on which the task has failed or stalled before, or that has
     * refused it since its last start.
     */
    private static final double AVOIDED_VM_PENALTY = 2.0;

    /** Added to the score of a suspended VM; more than all other parts of a score. */
    private static final double SUSPENDED_VM_PENALTY = 1_000;

    private VmSelector() {}

    /**
     * Selects among the VMs that may get start orders now.
     *
     * @param task the task
     * @param vms VMs that accept tasks of the service
     * @param requirement what a filler requires of a VM
     * @param pressureEstimator estimates of how much fillers interfere with serving tasks
     * @return the best VM that may take the task, empty if there is none
     */
    static Optional<Vm> select(
            Task task,
            Collection<Vm> vms,
            FillerRequirement requirement,
            PressureEstimator pressureEstimator) {
        return vms.stream()
                .flatMap(vm -> rate(task, vm, requirement, pressureEstimator).stream())
                .min(Comparator.naturalOrder())
                .map(ScoredVm::vm);
    }

    /** Returns the VM with its score for a task; empty if it may not take the task. */
    static Optional<ScoredVm> rate(
            Task task, Vm vm, FillerRequirement requirement, PressureEstimator pressureEstimator) {
        return allowed(task, vm, requirement, pressureEstimator)
                ? Optional.of(new ScoredVm(vm, score(task, vm, pressureEstimator)))
                : Optional.empty();
    }

    /** Returns whether a VM has room for a task and meets its requirements. */
    static boolean allowed(
            Task task, Vm vm, FillerRequirement requirement, PressureEstimator pressureEstimator) {
        return findLimit(task, vm, requirement, pressureEstimator) == PlacementLimit.NONE;
    }

    /**
     * Returns what prevents the placement of a task: the limit of the VM that comes closest to
     * taking it.
     *
     * @return the limit; {@link PlacementLimit#NONE} if a VM could take the task
     */
    static PlacementLimit findLimit(
            Task task,
            Collection<Vm> vms,
            FillerRequirement requirement,
            PressureEstimator pressureEstimator) {
        return vms.stream()
                .map(vm -> findLimit(task, vm, requirement, pressureEstimator))
                .min(Comparator.naturalOrder())
                .orElse(PlacementLimit.RULE);
    }

    /** Returns whether the rule of a step allows one more of its tasks on a VM. */
    static boolean allowedByRule(Step step, Vm vm) {
        return allowedByRule(step, vm, vm.countRuns(step));
    }

    /**
     * Returns whether the rule of a step allows one more of its tasks on a VM.
     *
     * @param runs number of runs of the step that count on the VM
     */
    static boolean allowedByRule(Step step, Vm vm, long runs) {
        PlacementRule rule = step.mSpec.placement();
        return rule.allowsLabels(vm.mWorker.labels())
                && (rule.maxPerVm() == 0 || runs < rule.maxPerVm());
    }

    /** Returns what prevents the placement of a task on a VM that has a worker. */
    static PlacementLimit findLimit(
            Task task, Vm vm, FillerRequirement requirement, PressureEstimator pressureEstimator) {
        Step step = task.mStep;
        StepSpec spec = step.mSpec;
        if (!allowedByRule(step, vm)) {
            return PlacementLimit.RULE;
        }
        if (!spec.reservation().fitsIn(vm.unreserved())) {
            return PlacementLimit.RESERVATION;
        }
        if (vm.delaysRefusedOrder(task)) {
            return PlacementLimit.REFUSED;
        }
        if (!vm.mHealth.accepts(task)) {
            return PlacementLimit.SUSPECTED;
        }
        if (vm.holdsRoomFromTask(task)) {
            return PlacementLimit.HELD;
        }
        if (!vm.needsSpareCpu(task)) {
            return PlacementLimit.NONE;
        }
        if (usableMilliCpu(task, vm) < spec.perTask().milliCpu() * requirement.mMinSpareShare) {
            return PlacementLimit.SPARE_CPU;
        }
        return excessUtilization(spec, vm, pressureEstimator) <= requirement.mMaxExcessUtilization
                ? PlacementLimit.NONE
                : PlacementLimit.DISTURBANCE;
    }

    /**
     * Returns the utilization by which the busiest serving task of the VM would exceed {@link
     * #MAX_SERVING_UTILIZATION} if this filler and those on the VM ran at full speed.
     */
    private static double excessUtilization(
            StepSpec spec, Vm vm, PressureEstimator pressureEstimator) {
        if (vm.mServingMilliCpu == 0) {
            return 0;
        }
        double expected =
                vm.maxServingUtilization()
                        + pressureEstimator.pendingRise(vm)
                        + pressureEstimator.expectedRise(spec, vm);
        return Math.max(0, expected - MAX_SERVING_UTILIZATION);
    }

    /** Returns the processor time that a filler could use on a VM, in thousandths of a core. */
    private static double usableMilliCpu(Task task, Vm vm) {
        return vm.spareMilliCpu() - vm.milliCpuClaimedByOthers(task) + vm.unusedServingMilliCpu();
    }

    /** Returns the score of a VM for a filler. */
    private static double fillerScore(Task task, Vm vm, PressureEstimator pressureEstimator) {
        StepSpec spec = task.mStep.mSpec;
        double score = -usableMilliCpu(task, vm) / vm.mWorker.capacity().milliCpu();
        if (vm.mServingMilliCpu == 0) {
            double relativePressure =
                    Math.min(1, pressureEstimator.factor(spec.image()) / HEAVY_PRESSURE_FACTOR);
            return score + LIGHT_FILLER_PENALTY * (1 - relativePressure);
        }
        return score + INTERFERENCE_WEIGHT * excessUtilization(spec, vm, pressureEstimator);
    }

    /**
     * Returns the score of a VM for a serving task. VMs without serving tasks are kept free as long
     * as others have room. The tasks of one step are placed together, because their load rises and
     * falls together and the busiest serving task of a VM limits the fillers there.
     */
    private static double servingScore(Task task, Vm vm, double capacity) {
        Step step = task.mStep;
        double score = vm.mFillerMilliCpu / capacity - 2 * vm.mServingMilliCpu / capacity;
        if (vm.mConsolidating) {
            score += CONSOLIDATION_PENALTY;
        }
        if (vm.mServingMilliCpu == 0) {
            return score + NO_SERVING_TASK_PENALTY;
        }
        if (vm.countRuns(step) > 0) {
            return score - SAME_STEP_BONUS;
        }
        long milliCpu = Math.max(1, step.mSpec.perTask().milliCpu());
        double fitting = Math.min(step.mWaitingTasks, vm.unreserved().milliCpu() / milliCpu);
        return score - STEP_FIT_BONUS * fitting / step.mWaitingTasks;
    }

    /** Returns the score of a VM for a task; the lowest score is the best. */
    private static double score(Task task, Vm vm, PressureEstimator pressureEstimator) {
        StepSpec spec = task.mStep.mSpec;
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        double score;
        if (spec.serving()) {
            score = servingScore(task, vm, capacity);
        } else if (spec.traits().filler()) {
            score = fillerScore(task, vm, pressureEstimator);
        } else {
            score = vm.unreserved().milliCpu() / capacity;
        }
        String rack = spec.placement().preferredRack();
        if (!rack.isEmpty() && !rack.equals(vm.mWorker.rack())) {
            score += REMOTE_RACK_PENALTY;
        }
        if (vm.hasClaimOf(task)) {
            score -= CLAIM_BONUS;
        }
        if (vm.mHealth.suspended()) {
            score += SUSPENDED_VM_PENALTY;
        }
        boolean avoided =
                task.mAvoidedVms.contains(vm.mAgent) || task.mRefusals.refusedBy(vm.mAgent);
        return avoided ? score + AVOIDED_VM_PENALTY : score;
    }
}
