package org.knapweedbank.jobs.reservation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * VMs that the rule of a step allows, with the time at which each has room for its next task. The
 * tasks of a step have the same requirements, so a reservation changes only the time of its VM.
 */
final class StepCandidates {
    private final WaitingStep mStep;
    private final List<VmTimeline> mTimelines;
    private final long[] mStarts;

    /** Number of tasks of the step that have a reservation in the present plan, by VM. */
    private final Map<VmTimeline, Integer> mReserved = new HashMap<>();

    StepCandidates(WaitingStep step, List<VmTimeline> timelines) {
        mStep = step;
        mTimelines = timelines;
        mStarts = timelines.stream().mapToLong(this::computeStart).toArray();
    }

    /** Returns the VM that has room first; empty if none has. */
    Optional<VmTimeline> first() {
        int best = -1;
        for (int i = 0; i < mStarts.length; i++) {
            if (mStarts[i] != VmTimeline.NEVER && (best < 0 || mStarts[i] < mStarts[best])) {
                best = i;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(mTimelines.get(best));
    }

    /** Returns when a VM has room for the next task, {@link VmTimeline#NEVER} if it has not. */
    long earliestStart(VmTimeline timeline) {
        return mStarts[mTimelines.indexOf(timeline)];
    }

    /** Computes the time of a VM again after a reservation on it. */
    void update(VmTimeline timeline) {
        mReserved.merge(timeline, 1, Integer::sum);
        mStarts[mTimelines.indexOf(timeline)] = computeStart(timeline);
    }

    private long computeStart(VmTimeline timeline) {
        int further = mReserved.getOrDefault(timeline, 0) + 1;
        return mStep.mayUse(timeline.mVm, further)
                ? timeline.earliestStart(mStep.room())
                : VmTimeline.NEVER;
    }
}
