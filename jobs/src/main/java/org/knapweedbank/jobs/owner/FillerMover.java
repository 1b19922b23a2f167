package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Moves fillers that get too little processor time to VMs where they can run at full speed.
 *
 * <p>On a VM whose serving tasks have little headroom, a filler is throttled heavily and delays its
 * whole job, while VMs without serving tasks become free. A filler that saves checkpoints loses
 * almost no work when it is stopped, so it is stopped there and resumes from its checkpoint on
 * another VM.
 */
final class FillerMover {
    /**
     * Number of consecutive reports of starvation, one per second, after which a filler is moved.
     */
    private static final int MIN_STARVED_REPORTS = 2;

    /** Progress in percent from which a filler is not moved any more. */
    private static final int NEARLY_DONE_PERCENT = 90;

    /** Number of moves after which a task is left on its VM. */
    private static final int MAX_MOVES = 4;

    private final OwnerState mState;
    private final RunTracker mRunTracker;
    private Map<Job, List<Run>> mStarvedByJob = Map.of();

    FillerMover(OwnerState state, RunTracker runTracker) {
        mState = state;
        mRunTracker = runTracker;
    }

    /**
     * Removes expired claims of room and collects the starved fillers, at the start of a round of
     * placement.
     */
    void startRound() {
        mState.mVms.values().forEach(vm -> vm.removeExpiredClaims(mState.now()));
        mStarvedByJob =
                mState.mVms.values().stream()
                        .flatMap(vm -> vm.starvedFillers().stream())
                        .filter(FillerMover::shouldMove)
                        .collect(Collectors.groupingBy(run -> run.mTask.mStep.mJob));
    }

    boolean hasStarved(Job job) {
        return mStarvedByJob.containsKey(job);
    }

    /**
     * Moves each starved filler of a job for which another of the VMs has room.
     *
     * @param job the job
     * @param vms VMs that may take tasks of the job
     */
    void move(Job job, List<Vm> vms) {
        mStarvedByJob.getOrDefault(job, List.of()).forEach(run -> move(run, vms));
    }

    private void move(Run run, List<Vm> vms) {
        List<Vm> others =
                vms.stream().filter(vm -> vm != run.mVm && !vm.mHealth.suspected()).toList();
        Optional<Vm> target =
                VmSelector.select(
                        run.mTask, others, FillerRequirement.FULL_SPEED, mState.mPressureEstimator);
        if (target.isPresent()) {
            mRunTracker.move(run, target.get(), "starved of processor time");
        }
    }

    private static boolean shouldMove(Run run) {
        return run.mStarvedReports >= MIN_STARVED_REPORTS && mayMove(run);
    }

    /** Returns whether a filler loses little work by a move. */
    static boolean mayMove(Run run) {
        Task task = run.mTask;
        var traits = task.mStep.mSpec.traits();
        return traits.checkpointing()
                && run.mProgressPercent < NEARLY_DONE_PERCENT
                && task.mMoves < MAX_MOVES
                && !run.mStopping
                && !task.mDone;
    }
}
