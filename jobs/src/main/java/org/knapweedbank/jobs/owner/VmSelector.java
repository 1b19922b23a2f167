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
 * where the most processor time is left over, counting a part of what serving tasks reserve. Other
 * batch tasks are spread over the least reserved VMs.
 */
final class VmSelector {
    /** Share of the processor time reserved by serving tasks that they leave to fillers. */
    private static final double UNUSED_BY_SERVING = 0.3;

    /** Part of a filler's demand that has to be spare for it to be worth a start. */
    private static final double FILLER_DEMAND_PART = 0.9;

    /** As above, for a filler that has waited; it would rather be slow than not run. */
    private static final double IMPATIENT_DEMAND_PART = 0.35;

    /** Weight of the disturbance of serving tasks, against spare processor time. */
    private static final double DISTURBANCE = 4;

    /** Utilization of a serving task up to which its latency stays well within its objective. */
    private static final double ALLOWED_UTILIZATION = 0.7;

    /** Disturbance that a filler may cause while it can still wait for a better VM. */
    private static final double PATIENT_DISTURBANCE = 0.05;

    /** As above, for a filler that has waited; the agent paces what is too much. */
    private static final double IMPATIENT_DISTURBANCE = 0.3;

    /** Added to a score when the VM is away from the data of the step. */
    private static final double AWAY_FROM_DATA = 0.5;

    /** Added to a score when the task has failed on the VM before. */
    private static final double FAILED_BEFORE = 2.0;

    private VmSelector() {}

    /**
     * Chooses among the VMs that may take orders now.
     *
     * @param task the task
     * @param vms VMs that accept tasks of its service
     * @param pressure how much fillers disturb serving tasks
     * @param patient true if a filler may still wait for a VM with its whole demand to spare
     * @return the best VM with room, empty if there is none
     */
    static Optional<Vm> select(
            Task task, Collection<Vm> vms, boolean patient, PressureEstimator pressure) {
        return vms.stream()
                .filter(vm -> allowed(task.mStep, vm, patient, pressure))
                .min(
                        Comparator.<Vm>comparingDouble(vm -> score(task, vm, pressure))
                                .thenComparing(vm -> vm.mAgent.value()));
    }

    private static boolean allowed(Step step, Vm vm, boolean patient, PressureEstimator pressure) {
        StepSpec spec = step.mSpec;
        PlacementRule rule = spec.placement();
        boolean labelled =
                rule.requiredLabel().isEmpty()
                        || vm.mWorker.labels().contains(rule.requiredLabel());
        return labelled
                && spec.reservation().fitsIn(vm.free())
                && (rule.maxPerVm() == 0 || vm.attemptsOf(step) < rule.maxPerVm())
                && (!spec.traits().filler() || worthFilling(spec, vm, patient, pressure));
    }

    private static boolean worthFilling(
            StepSpec spec, Vm vm, boolean patient, PressureEstimator pressure) {
        double part = patient ? FILLER_DEMAND_PART : IMPATIENT_DEMAND_PART;
        double limit = patient ? PATIENT_DISTURBANCE : IMPATIENT_DISTURBANCE;
        return usableSpare(vm) >= spec.perTask().milliCpu() * part
                && disturbance(spec, vm, pressure) <= limit;
    }

    /**
     * Utilization by which the worst serving task of the VM would exceed what its objective allows;
     * negative if it stays below.
     */
    private static double disturbance(StepSpec spec, Vm vm, PressureEstimator pressure) {
        if (vm.mServingCpu == 0) {
            return 0;
        }
        double expected = vm.servingUtilization() + pressure.rise(spec, vm);
        return Math.max(0, expected - ALLOWED_UTILIZATION);
    }

    private static double usableSpare(Vm vm) {
        return vm.spareCpu() + vm.mServingCpu * UNUSED_BY_SERVING;
    }

    private static double score(Task task, Vm vm, PressureEstimator pressure) {
        StepSpec spec = task.mStep.mSpec;
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        double score;
        if (spec.serving()) {
            score = vm.mFillerCpu / capacity - 2 * vm.mServingCpu / capacity;
        } else if (spec.traits().filler()) {
            score = -usableSpare(vm) / capacity + DISTURBANCE * disturbance(spec, vm, pressure);
        } else {
            score = vm.mReserved.milliCpu() / capacity;
        }
        String rack = spec.placement().preferredRack();
        if (!rack.isEmpty() && !rack.equals(vm.mWorker.rack())) {
            score += AWAY_FROM_DATA;
        }
        return task.mFailedOn.contains(vm.mAgent) ? score + FAILED_BEFORE : score;
    }
}
