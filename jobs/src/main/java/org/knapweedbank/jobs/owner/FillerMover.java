package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Moves fillers that are starved of processor time to VMs where they would get all of it.
 *
 * <p>Answers the load of batch work beside serving tasks: a filler on a VM whose serving tasks have
 * little headroom is paced to a crawl and holds up its whole job, while VMs without serving tasks
 * become free. A checkpointing filler loses next to nothing by a stop, so it is stopped there and
 * starts again from its checkpoint.
 */
final class FillerMover {
    /** Reports of starvation in a row, one a second, after which a filler is moved. */
    private static final int STARVED_REPORTS = 2;

    /** Progress in percent from which a filler is left to finish where it is. */
    private static final int NEARLY_DONE = 90;

    private static final int MAX_MOVES = 4;

    private final OwnerState mState;
    private final AttemptTracker mAttempts;
    private Map<Job, List<Attempt>> mStarved = Map.of();

    FillerMover(OwnerState state, AttemptTracker attempts) {
        mState = state;
        mAttempts = attempts;
    }

    /** Collects the starved fillers at the start of a round of placement. */
    void begin() {
        mState.mVms.values().forEach(vm -> vm.dropClaims(mState.now()));
        mStarved =
                mState.mVms.values().stream()
                        .flatMap(vm -> vm.mAttempts.values().stream())
                        .filter(FillerMover::starved)
                        .collect(Collectors.groupingBy(attempt -> attempt.mTask.mStep.mJob));
    }

    boolean hasStarved(Job job) {
        return mStarved.containsKey(job);
    }

    /** Moves the starved fillers of a job for which one of the VMs has room. */
    void move(Job job, List<Vm> vms) {
        mStarved.getOrDefault(job, List.of()).forEach(attempt -> move(attempt, vms));
    }

    private void move(Attempt attempt, List<Vm> vms) {
        List<Vm> others = vms.stream().filter(vm -> vm != attempt.mVm).toList();
        Optional<Vm> target =
                VmSelector.select(
                        attempt.mTask, others, FillerPatience.FULL_PACE, mState.mPressure);
        if (target.isPresent()) {
            mAttempts.move(attempt, target.get(), "starved of processor time");
        }
    }

    private static boolean starved(Attempt attempt) {
        Task task = attempt.mTask;
        var traits = task.mStep.mSpec.traits();
        return traits.filler()
                && traits.checkpointing()
                && attempt.mStarvedReports >= STARVED_REPORTS
                && attempt.mPercent < NEARLY_DONE
                && task.mMoves < MAX_MOVES
                && !attempt.mStopping
                && !task.mDone;
    }
}
