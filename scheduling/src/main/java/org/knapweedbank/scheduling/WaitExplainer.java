package org.knapweedbank.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.placement.CapacityLedger;
import org.knapweedbank.scheduling.placement.VmState;
import org.knapweedbank.scheduling.quota.PendingQueues;
import org.knapweedbank.scheduling.quota.Reservation;
import org.knapweedbank.scheduling.quota.TeamQueue;

/** Explains to operators why tasks wait and what they can do about it. */
final class WaitExplainer {
    private final CapacityLedger mLedger;
    private final PendingQueues mQueues;

    WaitExplainer(CapacityLedger ledger, PendingQueues queues) {
        mLedger = ledger;
        mQueues = queues;
    }

    /** Explains why a task fits on no VM of the partition. */
    String explainNeverFits(PendingTask task) {
        Resources need = task.resources();
        Resources largest = mLedger.catalog().componentMaxima();
        String excess = ResourceText.formatExcess(need, largest);
        return "Each task of job "
                + task.id().job()
                + " asks for "
                + ResourceText.format(need)
                + (excess.isEmpty()
                        ? ", but no single VM of the partition has all of these together"
                        : ", but the largest VM of the partition has less: " + excess)
                + "; lower the request or add larger VMs, then submit the job again.";
    }

    /** Explains that an urgent task waits for the tasks that it preempts. */
    String explainReservation(Reservation reservation) {
        return "Task "
                + reservation.task().id()
                + " waits for batch tasks on VM "
                + reservation.vm().id()
                + " to write their checkpoints and starts there next.";
    }

    /** Explains why a task waits in the pending queue. */
    String explainQueued(PendingTask task, Resources need) {
        Collection<VmState> registered =
                mLedger.vms().stream().filter(VmState::registered).toList();
        if (registered.isEmpty()) {
            return "No VM of the partition has registered; check that the agents run and that"
                    + " their seeds reach an entry.";
        }
        List<VmState> largeEnough =
                registered.stream().filter(vm -> need.fitsIn(vm.capacity())).toList();
        List<VmState> usable = largeEnough.stream().filter(VmState::placeable).toList();
        if (usable.isEmpty()) {
            return explainOutOfService(need, largeEnough);
        }
        return mQueues.blocked(task.id())
                ? explainNoCapacity(task, need, usable)
                : "The task is next to be considered. " + describeQuota(task);
    }

    private static String explainOutOfService(Resources need, List<VmState> largeEnough) {
        if (largeEnough.isEmpty()) {
            return "No registered VM has "
                    + ResourceText.format(need)
                    + "; a VM that is large enough may still register.";
        }
        long withoutSession = largeEnough.stream().filter(vm -> !vm.schedulable()).count();
        long quarantined = largeEnough.stream().filter(VmState::quarantined).count();
        TreeSet<String> removed = new TreeSet<>();
        largeEnough.stream()
                .filter(vm -> vm.dataCentre().outOfService())
                .forEach(vm -> removed.add(vm.dataCentre().id().value()));
        return "All "
                + largeEnough.size()
                + " VMs that are large enough are out of service"
                + (removed.isEmpty()
                        ? ""
                        : "; take a data centre back in: " + String.join(", ", removed))
                + (withoutSession == 0
                        ? ""
                        : "; check the agents of " + withoutSession + " VMs without a session")
                + (quarantined == 0
                        ? ""
                        : "; check "
                                + quarantined
                                + " VMs that are quarantined because tasks of several jobs failed"
                                + " there")
                + ".";
    }

    private String explainNoCapacity(PendingTask task, Resources need, List<VmState> usable) {
        VmState nearest =
                usable.stream()
                        .max(Comparator.comparingDouble(vm -> coveredShare(need, vm.available())))
                        .orElseThrow();
        return "None of the "
                + usable.size()
                + " VMs that are large enough has "
                + ResourceText.format(need)
                + " free; the nearest is "
                + nearest.id()
                + ", which lacks "
                + ResourceText.formatExcess(need, nearest.available())
                + ". Wait for tasks to end, lower the request, or take data centres back in. "
                + describeQuota(task);
    }

    /**
     * Returns the smallest ratio of the available to the needed amount over all resource
     * components.
     */
    private static double coveredShare(Resources need, Resources amount) {
        double cpu = (double) amount.milliCpu() / Math.max(1, need.milliCpu());
        double memory = (double) amount.memoryMb() / Math.max(1, need.memoryMb());
        double accelerators =
                need.accelerators() == 0 ? 1 : (double) amount.accelerators() / need.accelerators();
        return Math.min(accelerators, Math.min(cpu, memory));
    }

    private String describeQuota(PendingTask task) {
        TeamQueue team = mQueues.team(task.team());
        return "Team "
                + team.name()
                + " holds "
                + ResourceText.format(team.allocated())
                + " and deserves "
                + ResourceText.format(team.quota().deserved())
                + (team.overQuota() ? "; teams within their quota go first." : ".");
    }
}
