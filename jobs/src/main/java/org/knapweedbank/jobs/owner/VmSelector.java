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

    /** Weight of the serving tasks that a filler would disturb, against spare processor time. */
    private static final double DISTURBANCE = 0.5;

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
     * @param patient true if a filler may still wait for a VM with its whole demand to spare
     * @return the best VM with room, empty if there is none
     */
    static Optional<Vm> select(Task task, Collection<Vm> vms, boolean patient) {
        return vms.stream()
                .filter(vm -> allowed(task.mStep, vm, patient))
                .min(
                        Comparator.<Vm>comparingDouble(vm -> score(task, vm))
                                .thenComparing(vm -> vm.mAgent.value()));
    }

    private static boolean allowed(Step step, Vm vm, boolean patient) {
        StepSpec spec = step.mSpec;
        PlacementRule rule = spec.placement();
        boolean labelled =
                rule.requiredLabel().isEmpty()
                        || vm.mWorker.labels().contains(rule.requiredLabel());
        return labelled
                && spec.reservation().fitsIn(vm.free())
                && (rule.maxPerVm() == 0 || vm.attemptsOf(step) < rule.maxPerVm())
                && (!spec.traits().filler() || worthFilling(spec, vm, patient));
    }

    private static boolean worthFilling(StepSpec spec, Vm vm, boolean patient) {
        double part = patient ? FILLER_DEMAND_PART : IMPATIENT_DEMAND_PART;
        return usableSpare(vm) >= spec.perTask().milliCpu() * part;
    }

    private static double usableSpare(Vm vm) {
        return vm.spareCpu() + vm.mServingCpu * UNUSED_BY_SERVING;
    }

    private static double score(Task task, Vm vm) {
        StepSpec spec = task.mStep.mSpec;
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        double score;
        if (spec.serving()) {
            score = vm.mFillerCpu / capacity - 2 * vm.mServingCpu / capacity;
        } else if (spec.traits().filler()) {
            score = -usableSpare(vm) / capacity + DISTURBANCE * vm.mServingCpu / capacity;
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
