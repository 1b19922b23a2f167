package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;

/**
 * Chooses the VM for a task.
 *
 * <p>Serving tasks are packed, so that few VMs have something that fillers can disturb. Fillers go
 * where the most processor time is left over, counting what serving tasks reserve and do not use;
 * those that disturb little leave the VMs without serving tasks to those that disturb much. Other
 * batch tasks take the smallest room that holds them, which keeps whole VMs free for fillers and
 * for large serving tasks.
 */
final class VmSelector {
    /** Weight of the disturbance of serving tasks, against spare processor time. */
    private static final double DISTURBANCE = 4;

    /** Utilization of a serving task up to which its latency stays well within its objective. */
    private static final double ALLOWED_UTILIZATION = 0.7;

    /** Factor of pressure from which a filler has the full right to VMs without serving tasks. */
    private static final double HEAVY_FACTOR = 0.4;

    /** Added to the score of a VM without serving tasks for a filler that disturbs nothing. */
    private static final double KEPT_FOR_HEAVY = 1.0;

    /** Added to a score when the VM is away from the data of the step. */
    private static final double AWAY_FROM_DATA = 0.5;

    /** Added to the score of a VM that is being emptied of serving tasks. */
    private static final double EMPTYING = 3.0;

    /** Taken off the score of the VM that keeps room for the task. */
    private static final double CLAIMED = 2.0;

    /** Added to the score of a VM without serving tasks, for a serving task. */
    private static final double KEPT_FREE = 4.0;

    /** Taken off the score of a VM that has tasks of the same step, for a serving task. */
    private static final double WITH_ITS_STEP = 2.0;

    /** Taken off the score of a VM that has room for all waiting tasks of a serving step. */
    private static final double ROOM_FOR_STEP = 1.0;

    /** Added to a score when the task has failed on the VM before. */
    private static final double FAILED_BEFORE = 2.0;

    private VmSelector() {}

    /**
     * Chooses among the VMs that may take orders now.
     *
     * @param task the task
     * @param vms VMs that accept tasks of its service
     * @param pressure how much fillers disturb serving tasks
     * @param patience what a filler demands of a VM
     * @return the best VM with room, empty if there is none
     */
    static Optional<Vm> select(
            Task task, Collection<Vm> vms, FillerPatience patience, PressureEstimator pressure) {
        return vms.stream()
                .filter(vm -> allowed(task, vm, patience, pressure))
                .min(
                        Comparator.<Vm>comparingDouble(vm -> score(task, vm, pressure))
                                .thenComparing(vm -> vm.mAgent.value()));
    }

    /** Tells whether a VM has room for a task and fits its demands. */
    static boolean allowed(Task task, Vm vm, FillerPatience patience, PressureEstimator pressure) {
        return limit(task, vm, patience, pressure) == PlacementLimit.NONE;
    }

    /**
     * Tells what keeps a task from all VMs: the limit of the VM that comes nearest to taking it.
     *
     * @return the limit; {@link PlacementLimit#NONE} if a VM could take the task
     */
    static PlacementLimit limit(
            Task task, Collection<Vm> vms, FillerPatience patience, PressureEstimator pressure) {
        return vms.stream()
                .map(vm -> limit(task, vm, patience, pressure))
                .min(Comparator.naturalOrder())
                .orElse(PlacementLimit.RULE);
    }

    private static PlacementLimit limit(
            Task task, Vm vm, FillerPatience patience, PressureEstimator pressure) {
        Step step = task.mStep;
        StepSpec spec = step.mSpec;
        PlacementRule rule = spec.placement();
        boolean labelled =
                rule.requiredLabel().isEmpty()
                        || vm.mWorker.labels().contains(rule.requiredLabel());
        if (!labelled || rule.maxPerVm() != 0 && vm.attemptsOf(step) >= rule.maxPerVm()) {
            return PlacementLimit.RULE;
        }
        if (!spec.reservation().fitsIn(vm.free())) {
            return PlacementLimit.RESERVATION;
        }
        if (!spec.traits().filler()) {
            return PlacementLimit.NONE;
        }
        if (usableSpare(task, vm) < spec.perTask().milliCpu() * patience.mDemandPart) {
            return PlacementLimit.SPARE_CPU;
        }
        return disturbance(spec, vm, pressure) <= patience.mDisturbance
                ? PlacementLimit.NONE
                : PlacementLimit.DISTURBANCE;
    }

    /**
     * Utilization by which the worst serving task of the VM would exceed what its objective allows
     * if this filler and those that run there worked at full pace.
     */
    private static double disturbance(StepSpec spec, Vm vm, PressureEstimator pressure) {
        if (vm.mServingCpu == 0) {
            return 0;
        }
        double expected = vm.servingUtilization() + pressure.withheld(vm) + pressure.rise(spec, vm);
        return Math.max(0, expected - ALLOWED_UTILIZATION);
    }

    private static double usableSpare(Task task, Vm vm) {
        return vm.spareCpu() - vm.claimedByOthers(task) + vm.unusedByServing();
    }

    private static double fillerScore(Task task, Vm vm, PressureEstimator pressure) {
        StepSpec spec = task.mStep.mSpec;
        double score = -usableSpare(task, vm) / vm.mWorker.capacity().milliCpu();
        if (vm.mServingCpu == 0) {
            double heaviness = Math.min(1, pressure.factor(spec.image()) / HEAVY_FACTOR);
            return score + KEPT_FOR_HEAVY * (1 - heaviness);
        }
        return score + DISTURBANCE * disturbance(spec, vm, pressure);
    }

    /**
     * Score of a VM for a serving task. VMs without serving tasks are kept free as long as others
     * have room. The load of a step's tasks rises and falls together, and fillers get what the one
     * with the highest load leaves them: so the tasks of a step go together.
     */
    private static double servingScore(Task task, Vm vm, double capacity) {
        Step step = task.mStep;
        double score = vm.mFillerCpu / capacity - 2 * vm.mServingCpu / capacity;
        if (vm.mEmptying) {
            score += EMPTYING;
        }
        if (vm.mServingCpu == 0) {
            return score + KEPT_FREE;
        }
        if (vm.attemptsOf(step) > 0) {
            return score - WITH_ITS_STEP;
        }
        long cpu = Math.max(1, step.mSpec.perTask().milliCpu());
        double fitting = Math.min(step.mWaiting, vm.free().milliCpu() / cpu);
        return score - ROOM_FOR_STEP * fitting / step.mWaiting;
    }

    private static double score(Task task, Vm vm, PressureEstimator pressure) {
        StepSpec spec = task.mStep.mSpec;
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        double score;
        if (spec.serving()) {
            score = servingScore(task, vm, capacity);
        } else if (spec.traits().filler()) {
            score = fillerScore(task, vm, pressure);
        } else {
            score = vm.free().milliCpu() / capacity;
        }
        String rack = spec.placement().preferredRack();
        if (!rack.isEmpty() && !rack.equals(vm.mWorker.rack())) {
            score += AWAY_FROM_DATA;
        }
        if (vm.claimedBy(task)) {
            score -= CLAIMED;
        }
        return task.mFailedOn.contains(vm.mAgent) ? score + FAILED_BEFORE : score;
    }
}
