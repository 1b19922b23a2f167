package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;

/**
 * Finds VMs on which batch tasks stand still although the worker answers, and starts these tasks
 * elsewhere.
 *
 * <p>Answers the load of short urgent jobs on workers that hang for seconds: without it each task
 * there waits until the worker recovers, and new tasks follow, as the VM looks free. A VM is
 * suspected only while none of its batch tasks makes progress, so that one bad task condemns no VM.
 */
final class HangDetector {
    /** Time without progress from which a task counts as standing still. */
    private static final long STILL_MILLIS = 2_000;

    /**
     * Part of the estimated run time that may pass without progress, for long tasks whose progress
     * in whole percents changes seldom.
     */
    private static final int ESTIMATE_PART = 4;

    /** Progress so recent that the VM is taken for sound. */
    private static final long RECENT_MILLIS = 1_200;

    private static final int MAX_MOVES = 2;

    private final OwnerState mState;
    private final AttemptTracker mAttempts;

    HangDetector(OwnerState state, AttemptTracker attempts) {
        mState = state;
        mAttempts = attempts;
    }

    /**
     * Looks at a VM after its progress was taken note of.
     *
     * @param vm the VM
     * @param listed the tasks that its worker lists as running
     */
    void inspect(Vm vm, Set<TaskName> listed) {
        long now = mState.now();
        List<Attempt> batch =
                vm.mAttempts.values().stream()
                        .filter(HangDetector::plain)
                        .filter(attempt -> listed.contains(attempt.mTask.mName))
                        .toList();
        List<Attempt> still = batch.stream().filter(attempt -> still(attempt, now)).toList();
        boolean sound =
                batch.stream()
                        .anyMatch(
                                a ->
                                        a.mProgressAt > a.mOrderedAt
                                                && now - a.mProgressAt <= RECENT_MILLIS);
        if (still.isEmpty() || sound) {
            return;
        }
        if (vm.mHealth.suspend(now)) {
            mState.mLog.record(
                    "vm.suspended",
                    vm.mAgent.value(),
                    "cause",
                    "standing still",
                    "tasks",
                    still.size());
        }
        still.stream().filter(a -> a.mTask.mMoves < MAX_MOVES).forEach(this::restart);
    }

    private void restart(Attempt attempt) {
        attempt.mTask.mMoves++;
        attempt.mTask.mFailedOn.add(attempt.mVm.mAgent);
        mAttempts.stop(attempt, "stands still");
    }

    private static boolean plain(Attempt attempt) {
        var traits = attempt.mTask.mStep.mSpec.traits();
        return attempt.mConfirmed
                && !attempt.mStopping
                && !traits.filler()
                && !traits.longRunning()
                && !traits.gang();
    }

    private static boolean still(Attempt attempt, long now) {
        long patience = attempt.mTask.mStep.mSpec.estimate().toMillis() / ESTIMATE_PART;
        return now - attempt.mProgressAt > Math.max(STILL_MILLIS, patience);
    }
}
