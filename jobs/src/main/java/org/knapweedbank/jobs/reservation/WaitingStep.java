package org.knapweedbank.jobs.reservation;

import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.Resources;

/**
 * Waiting tasks of one step that fit on no VM.
 *
 * @param tasks the tasks, at least one
 * @param room resources that each task reserves
 * @param service pool of VMs that runs the tasks
 * @param rule restrictions on the VMs
 * @param runsByVm number of runs of the step on each VM; needed only if the rule limits it
 */
public record WaitingStep(
        List<TaskName> tasks,
        Resources room,
        String service,
        PlacementRule rule,
        Map<DaemonId, Integer> runsByVm) {
    /**
     * Returns the identity of the step.
     *
     * @return the key
     */
    public StepKey key() {
        return StepKey.of(tasks.getFirst());
    }

    /**
     * Returns whether the rule and the size of a VM allow a number of further tasks there.
     *
     * @param vm the VM
     * @param further number of further tasks
     * @return true if the VM may take them
     */
    boolean mayUse(VmRoom vm, int further) {
        boolean limited = rule.maxPerVm() != 0;
        return service.equals(vm.service())
                && room.fitsIn(vm.capacity())
                && rule.allowsLabels(vm.labels())
                && !(limited && runsByVm.getOrDefault(vm.vm(), 0) + further > rule.maxPerVm());
    }
}
