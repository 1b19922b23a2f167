package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;

/**
 * Detects VMs on which batch tasks make no progress although the worker responds, and restarts
 * these tasks on other VMs.
 *
 * <p>This limits the delay of short urgent jobs when a worker hangs for seconds. Without it, each
 * task on the VM waits until the worker recovers, and new tasks are placed there because the VM
 * seems to have room. A VM is suspended only if none of its batch tasks makes progress, so that one
 * faulty task does not suspend it.
 */
final class HangDetector {
    /** Minimum time without progress from which a task counts as stalled. */
    private static final long MIN_STALL_MILLIS = 2_000;

    /**
     * Divisor that gives the part of the estimated run time that may pass without progress. Long
     * tasks report progress in whole percents, which change rarely.
     */
    private static final int STALL_ESTIMATE_DIVISOR = 4;

    /** Time since the progress of any batch task within which the VM counts as working. */
    private static final long RECENT_PROGRESS_MILLIS = 1_200;

    /** Number of moves after which a task is left on its VM. */
    private static final int MAX_MOVES = 2;

    private final OwnerState mState;
    private final RunTracker mRunTracker;

    HangDetector(OwnerState state, RunTracker runTracker) {
        mState = state;
        mRunTracker = runTracker;
    }

    /**
     * Checks a VM after the progress of its runs has been recorded.
     *
     * @param vm the VM
     * @param listed tasks that the worker lists as running
     */
    void inspect(Vm vm, Set<TaskName> listed) {
        long now = mState.now();
        List<Run> batch =
                vm.mRuns.values().stream()
                        .filter(HangDetector::monitored)
                        .filter(run -> listed.contains(run.mTask.mName))
                        .toList();
        List<Run> stalled = batch.stream().filter(run -> stalled(run, now)).toList();
        boolean progressing =
                batch.stream()
                        .anyMatch(
                                run ->
                                        run.mLastProgressAt > run.mOrderedAt
                                                && now - run.mLastProgressAt
                                                        <= RECENT_PROGRESS_MILLIS);
        if (stalled.isEmpty() || progressing) {
            return;
        }
        if (vm.mHealth.suspend()) {
            mState.mLog.record(
                    "vm.suspended",
                    vm.mAgent.value(),
                    "cause",
                    "no batch task makes progress",
                    "tasks",
                    stalled.size());
        }
        stalled.stream().filter(run -> run.mTask.mMoves < MAX_MOVES).forEach(this::stopForRestart);
    }

    /** Stops a run, so that its task restarts on another VM. */
    private void stopForRestart(Run run) {
        run.mTask.mMoves++;
        run.mTask.mAvoidedVms.add(run.mVm.mAgent);
        mRunTracker.stop(run, "stands still");
    }

    /**
     * Returns whether the progress of a run is checked: the run is confirmed and not being stopped,
     * and its task is neither a filler nor long-running nor part of a gang.
     */
    private static boolean monitored(Run run) {
        var traits = run.mTask.mStep.mSpec.traits();
        return run.mStartConfirmed
                && !run.mStopping
                && !traits.filler()
                && !traits.longRunning()
                && !traits.gang();
    }

    private static boolean stalled(Run run, long now) {
        long stallMillis = run.mTask.mStep.mSpec.estimate().toMillis() / STALL_ESTIMATE_DIVISOR;
        return now - run.mLastProgressAt > Math.max(MIN_STALL_MILLIS, stallMillis);
    }
}
