package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.List;

/** Tells whether work waits for processor time, and not for a rule, a pause or a record. */
final class WaitingWork {
    private final OwnerState mState;
    private final boolean mLoadedJobsWait;

    /**
     * Creates the rule for one moment.
     *
     * @param loadedJobsWait whether jobs of the former owner are not started yet, since VMs on
     *     which their tasks may run have not reported
     */
    WaitingWork(OwnerState state, boolean loadedJobsWait) {
        mState = state;
        mLoadedJobsWait = loadedJobsWait;
    }

    /** Returns whether the tasks of a step lack processor time or other resources. */
    boolean waits(Step step) {
        return step.hasReadyTasks()
                && step.mJob.mayStart(mLoadedJobsWait)
                && hasStartableTask(step)
                && canRun(step, mState.mVms.values());
    }

    /** Returns the steps that have a starved filler. */
    List<Step> starvedSteps() {
        return mState.mVms.values().stream()
                .flatMap(vm -> vm.starvedFillers().stream())
                .map(run -> run.mTask.mStep)
                .distinct()
                .toList();
    }

    private boolean hasStartableTask(Step step) {
        return step.mTasks.stream().anyMatch(task -> task.mayStart(mState.now()));
    }

    private static boolean canRun(Step step, Collection<Vm> vms) {
        return vms.stream().anyMatch(vm -> couldRun(step, vm));
    }

    /** Returns whether a VM is large enough for a task of a step and allowed by its rules. */
    static boolean couldRun(Step step, Vm vm) {
        return vm.mWorker != null
                && vm.mWorker.service().equals(step.mJob.queue().service())
                && step.mSpec.reservation().fitsIn(vm.mWorker.capacity())
                && VmSelector.allowedByRule(step, vm);
    }
}
