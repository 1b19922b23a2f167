package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Set;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;

/** Aligns the tracked runs with those that the VMs list. */
final class RunReconciler {
    /** Share of its requested processor time below which a filler counts as starved. */
    private static final double STARVED_CPU_SHARE = 0.5;

    private final OwnerState mState;
    private final RunTracker mRunTracker;

    RunReconciler(OwnerState state, RunTracker runTracker) {
        mState = state;
        mRunTracker = runTracker;
    }

    /**
     * Compares a run that a VM lists with the tracked run of its task, and adopts, confirms or
     * stops it.
     *
     * @param confirmed true if the worker lists the run as running, false if its start is still in
     *     progress
     */
    void reconcile(Vm vm, RunStatus listedRun, boolean confirmed) {
        Task task = mState.findTask(listedRun.task());
        if (task == null) {
            vm.mUnwantedTasks.add(listedRun.task());
            mState.mOutput.stop(vm.mAgent, listedRun.task(), listedRun.run());
            return;
        }
        Run run = task.mRun;
        if (run != null && (run.mVm != vm || run.mNumber > listedRun.run())) {
            stopDuplicate(vm, listedRun, run);
            return;
        }
        vm.mUnwantedTasks.remove(listedRun.task());
        if (run == null || run.mNumber < listedRun.run()) {
            if (run != null) {
                mRunTracker.release(run);
            }
            run = mRunTracker.adopt(task, vm, listedRun.run());
        }
        if (confirmed) {
            mRunTracker.confirmStart(run);
            run.recordShown(vm.mListsReceivedAt);
            updateProgress(run, listedRun);
        }
        if (run.mStopping || task.mDone || task.mStep.mJob.finished()) {
            mRunTracker.stop(run, "run is no longer needed");
        }
    }

    /** Records the progress and the processor use that a worker reports for a run. */
    private void updateProgress(Run run, RunStatus listedRun) {
        var spec = run.mTask.mStep.mSpec;
        if (!spec.serving()) {
            run.mTask.mStep.mJob.mUsedCoreMillis +=
                    run.recordCpuUse(listedRun.measuredValue(), mState.now());
        }
        long demand = spec.perTask().milliCpu();
        boolean starved = listedRun.measuredValue() < demand * STARVED_CPU_SHARE;
        run.mStarvedReports = starved ? run.mStarvedReports + 1 : 0;
        if (listedRun.percent() != run.mProgressPercent) {
            run.mLastProgressAt = mState.now();
            run.mTask.mStep.mJob.invalidateUrgency();
        }
        run.mProgressPercent = listedRun.percent();
        run.mCheckpoint = listedRun.checkpoint();
        run.recordInitialPercent(listedRun.percent());
        if (run.works() && run.mVm.mHealth.recordWork(run, false)) {
            mRunTracker.logRecovery(run.mVm, run.mTask);
        }
    }

    /** Stops a run of a task that has a newer run or a run on another VM. */
    private void stopDuplicate(Vm vm, RunStatus listedRun, Run run) {
        if (run.mVm != vm) {
            vm.mUnwantedTasks.add(listedRun.task());
        }
        mState.mLog.record(
                "task.duplicate",
                listedRun.task(),
                "run",
                listedRun.run(),
                "vm",
                vm.mAgent.value(),
                "kept_run",
                run.mNumber,
                "kept_vm",
                run.mVm.mAgent.value());
        mState.mOutput.stop(vm.mAgent, listedRun.task(), listedRun.run());
    }

    /** Releases the runs that are not present on a VM and whose orders are covered. */
    void releaseAbsent(Vm vm, Set<TaskName> present, OrderCoverage coverage) {
        long coveredBefore = coveredBefore(coverage);
        List.copyOf(vm.mRuns.values()).stream()
                .filter(run -> !present.contains(run.mTask.mName))
                .filter(run -> run.mOrderedAt < coveredBefore)
                .forEach(mRunTracker::releaseAbsent);
    }

    /** Returns the monotonic time in milliseconds before which all orders are covered. */
    private long coveredBefore(OrderCoverage coverage) {
        return switch (coverage) {
            case OrderCoverage.AllOrders all -> Long.MAX_VALUE;
            case OrderCoverage.ListsRequestedAfter lists ->
                    lists.requestedAfterMillis() - mState.mSettings.orderTimeout().toMillis();
            case OrderCoverage.NoOrders none -> Long.MIN_VALUE;
        };
    }

    /**
     * Stops a run before it starts, unless the present incarnation of the worker lists it. Its
     * order may still reach that incarnation, and an agent that has started again doesn't know of
     * it.
     */
    void revokeUnlessAdopted(Vm vm, Run run) {
        Run current = run.mTask.mRun;
        boolean adopted = current != null && current.mVm == vm && current.mNumber == run.mNumber;
        if (!adopted) {
            mState.mOutput.stop(vm.mAgent, run.mTask.mName, run.mNumber);
        }
    }

    /** Returns the runs on an earlier incarnation of a worker whose starts are not confirmed. */
    static List<Run> unconfirmedOnEarlierIncarnation(Vm vm, WorkerId worker) {
        boolean restarted =
                vm.mWorker != null
                        && !vm.hasWorker(worker)
                        && vm.mWorker.id().id().equals(worker.id());
        return restarted
                ? vm.mRuns.values().stream().filter(run -> !run.mStartConfirmed).toList()
                : List.of();
    }

    /**
     * Records that a task runs on no other VM, as it runs on this one by a complete report: it has
     * at most one run at a time. It need not wait for the other VMs when this run ends. An
     * incomplete report does not show this, since a run in it may have ended.
     */
    void markReported(Vm vm, RunStatus listedRun) {
        Task task = mState.findTask(listedRun.task());
        Run run = task == null ? null : task.mRun;
        if (run != null && run.mVm == vm && run.mNumber == listedRun.run()) {
            task.mMayRunUnreported = false;
        }
    }
}
