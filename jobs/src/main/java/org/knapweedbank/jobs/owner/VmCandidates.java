package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.StepSpec;

/**
 * VMs for the waiting tasks of one step. The tasks of a step have the same requirements, so a start
 * changes only the score of the VM that takes the task. Each VM is rated once for the step, and
 * again after each start on it, instead of once for each task.
 */
final class VmCandidates {
    private final FillerRequirement mRequirement;
    private final PressureEstimator mPressureEstimator;
    private final PriorityQueue<ScoredVm> mVms;

    /**
     * Rates the VMs.
     *
     * @param task a task of the step for which {@link #isInterchangeable} holds
     * @param vms VMs that accept tasks of the service
     * @param requirement what a filler requires of a VM
     * @param pressureEstimator estimates of how much fillers interfere with serving tasks
     */
    VmCandidates(
            Task task,
            Collection<Vm> vms,
            FillerRequirement requirement,
            PressureEstimator pressureEstimator) {
        mRequirement = requirement;
        mPressureEstimator = pressureEstimator;
        mVms =
                vms.stream()
                        .flatMap(
                                vm ->
                                        VmSelector.rate(task, vm, requirement, pressureEstimator)
                                                .stream())
                        .collect(Collectors.toCollection(PriorityQueue::new));
    }

    /**
     * Returns whether a VM has the same score for a task as for the other interchangeable tasks of
     * its step. It has not if the task has failed, was refused, avoids or prefers a VM, if its step
     * serves users, since the score then depends on how many tasks wait, or if its step is
     * long-running, since a task that has waited long may use room that is kept from the others.
     */
    static boolean isInterchangeable(Task task) {
        StepSpec spec = task.mStep.mSpec;
        return !spec.serving()
                && !spec.traits().longRunning()
                && task.mMoves == 0
                && task.mAvoidedVms.isEmpty()
                && task.mRefusals.isEmpty()
                && task.mFailedRuns.count() == 0;
    }

    /** Returns the best VM; empty if no VM may take a task. */
    Optional<Vm> best() {
        return Optional.ofNullable(mVms.peek()).map(ScoredVm::vm);
    }

    /** Rates a VM again after a task has been started on it. */
    void update(Task task, Vm vm) {
        mVms.removeIf(scored -> scored.vm() == vm);
        VmSelector.rate(task, vm, mRequirement, mPressureEstimator).ifPresent(mVms::add);
    }
}
