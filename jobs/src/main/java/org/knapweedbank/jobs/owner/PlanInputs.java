package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.reservation.EndingRun;
import org.knapweedbank.jobs.reservation.VmRoom;
import org.knapweedbank.jobs.reservation.WaitingStep;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.Resources;

/** Describes VMs and waiting tasks for the planning of reservations. */
final class PlanInputs {
    /**
     * Maximum number of VMs without reservations in a plan, which bounds its cost: twice the
     * default number of tasks in a plan. A VM that lacks much of its capacity seldom has the room
     * first. There is no limit if a waiting step may not use all VMs, since the first ones may be
     * those that it may not use.
     */
    private static final int MAX_VMS = 32;

    private final RunEndEstimator mEnds;

    PlanInputs(RunEndEstimator ends) {
        mEnds = ends;
    }

    /** Returns the waiting tasks of a step, with its runs by VM if its rule limits them. */
    WaitingStep step(Step step, List<Task> tasks, List<Vm> vms) {
        boolean limited = step.mSpec.placement().maxPerVm() != 0;
        Map<DaemonId, Integer> runsByVm =
                limited
                        ? vms.stream()
                                .collect(
                                        Collectors.toMap(
                                                vm -> vm.mAgent, vm -> (int) vm.countRuns(step)))
                        : Map.of();
        List<TaskName> names = tasks.stream().map(task -> task.mName).toList();
        return new WaitingStep(
                names,
                step.mSpec.reservation(),
                step.mJob.queue().service(),
                step.mSpec.placement(),
                runsByVm);
    }

    /** Returns the VMs on which room may be reserved for waiting steps, and those with holds. */
    List<VmRoom> vms(Collection<Vm> vms, List<WaitingStep> steps) {
        Resources largest =
                new Resources(
                        max(steps, Resources::milliCpu),
                        max(steps, Resources::memoryMb),
                        (int) max(steps, Resources::accelerators));
        List<Vm> candidates =
                vms.stream()
                        .filter(vm -> !vm.mHolds.isEmpty() || canHoldTaskOfAny(steps, vm))
                        .toList();
        boolean anywhere =
                steps.stream()
                        .map(WaitingStep::rule)
                        .allMatch(rule -> rule.requiredLabel().isEmpty() && rule.maxPerVm() == 0);
        if (candidates.size() > MAX_VMS && anywhere) {
            candidates = nearest(candidates, largest);
        }
        return candidates.stream().map(vm -> room(vm, largest)).toList();
    }

    private static boolean canHoldTaskOfAny(List<WaitingStep> steps, Vm vm) {
        return steps.stream()
                .anyMatch(
                        step ->
                                step.service().equals(vm.mWorker.service())
                                        && step.room().fitsIn(vm.mWorker.capacity()));
    }

    /** Returns the VMs that lack the smallest shares, and those with a reservation. */
    private static List<Vm> nearest(List<Vm> vms, Resources room) {
        List<Vm> sorted =
                vms.stream()
                        .map(vm -> new ScoredVm(vm, lackingShare(vm, room)))
                        .sorted()
                        .map(ScoredVm::vm)
                        .toList();
        return Stream.concat(
                        sorted.stream().limit(MAX_VMS),
                        sorted.stream().skip(MAX_VMS).filter(vm -> !vm.mHolds.isEmpty()))
                .toList();
    }

    /** Returns what a VM lacks for a task now, as a share of its capacity. */
    private static double lackingShare(Vm vm, Resources room) {
        Resources lacking = room.minus(vm.unreserved());
        Resources capacity = vm.mWorker.capacity();
        return Math.max(0, lacking.milliCpu()) / (1.0 + capacity.milliCpu())
                + Math.max(0, lacking.memoryMb()) / (1.0 + capacity.memoryMb());
    }

    private static long max(List<WaitingStep> steps, ToLongFunction<Resources> amount) {
        return steps.stream().map(WaitingStep::room).mapToLong(amount).max().orElse(0);
    }

    /**
     * Returns the room on a VM. Runs that free nothing of what the VM lacks are left out, for
     * example fillers on a VM that lacks only processor time.
     */
    private VmRoom room(Vm vm, Resources largest) {
        Resources unreserved = vm.unreserved().minus(vm.claimed());
        Resources lacking = largest.minus(unreserved);
        List<EndingRun> runs =
                vm.mRuns.values().stream()
                        .filter(RunEndEstimator::ends)
                        .filter(run -> frees(run.mTask.mStep.mSpec.reservation(), lacking))
                        .map(mEnds::endOf)
                        .toList();
        return new VmRoom(
                vm.mAgent,
                vm.mWorker.service(),
                vm.mWorker.labels(),
                vm.mWorker.capacity(),
                unreserved,
                runs);
    }

    private static boolean frees(Resources room, Resources lacking) {
        return room.milliCpu() > 0 && lacking.milliCpu() > 0
                || room.memoryMb() > 0 && lacking.memoryMb() > 0
                || room.accelerators() > 0 && lacking.accelerators() > 0;
    }
}
