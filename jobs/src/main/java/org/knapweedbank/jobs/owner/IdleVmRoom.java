package org.knapweedbank.jobs.owner;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.Set;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.admission.WorkKind;

/** Idle room of one VM while tasks are assigned to it in a trial, without starting them. */
final class IdleVmRoom {
    /** Order in which tasks that reserve processor time are placed. */
    static final Comparator<IdleVmRoom> SMALLEST_FIRST =
            Comparator.<IdleVmRoom>comparingLong(room -> room.mFree.reservable().milliCpu())
                    .thenComparing(room -> room.mVm.mAgent.value());

    private final Vm mVm;
    private FreeRoom mFree;

    /** Kinds of tasks that wait for this VM; what is free there is for them. */
    private final Set<WorkKind> mAwaitedBy = EnumSet.noneOf(WorkKind.class);

    IdleVmRoom(Vm vm, FreeRoom free) {
        mVm = vm;
        mFree = free;
    }

    Vm vm() {
        return mVm;
    }

    /**
     * Returns whether a task of a new job could start on the VM without room that is reserved for
     * waiting tasks, however urgent they are.
     */
    boolean admits(Task task, PressureEstimator pressureEstimator) {
        return !mAwaitedBy.contains(JobWork.kind(task.mStep))
                && isAllowed(task, FillerRequirement.FULL_SPEED, pressureEstimator)
                && mVm.mHolds.stream().allMatch(hold -> hold.admits(task));
    }

    /**
     * Takes the room for tasks of a step. A filler counts as able to run here at half of its speed,
     * which it accepts after some time.
     *
     * @param task a task of the step
     * @param count maximum number of tasks
     * @return number of tasks that got room
     */
    int take(Task task, int count, PressureEstimator pressureEstimator) {
        int limit = Math.min(count, maxTasks(task.mStep));
        int taken = 0;
        while (taken < limit
                && isAllowed(task, FillerRequirement.REDUCED_SPEED, pressureEstimator)) {
            mFree = isExact(task) ? mFree.minus(task.mStep.mSpec) : FreeRoom.NONE;
            taken++;
        }
        return taken;
    }

    /** Returns how many tasks of a step of a new job could start on the VM, up to a maximum. */
    int count(Task task, int max, PressureEstimator pressureEstimator) {
        if (!admits(task, pressureEstimator)) {
            return 0;
        }
        FreeRoom free = mFree;
        int count = take(task, max, pressureEstimator);
        mFree = free;
        return count;
    }

    /**
     * Notes that a task waits, for which there is no room now. It gets what is free on a VM that it
     * could run on as soon as that is enough.
     */
    void addWaiting(Step step) {
        if (WaitingWork.couldRun(step, mVm)) {
            mAwaitedBy.add(JobWork.kind(step));
        }
    }

    private boolean isAllowed(
            Task task, FillerRequirement requirement, PressureEstimator pressureEstimator) {
        return mFree.holds(task.mStep.mSpec, requirement)
                && mVm.mWorker != null
                && mVm.mWorker.service().equals(task.mStep.mJob.queue().service())
                && VmSelector.allowed(task, mVm, requirement, pressureEstimator);
    }

    /**
     * Returns whether the room that a task leaves follows from its resources alone. What is left
     * beside reserved room, and how far serving tasks are disturbed, shows only after the start.
     */
    private boolean isExact(Task task) {
        boolean disturbs = task.mStep.mSpec.traits().filler() && mVm.mServingMilliCpu > 0;
        return mVm.mHolds.isEmpty() && !disturbs;
    }

    private int maxTasks(Step step) {
        PlacementRule rule = step.mSpec.placement();
        return rule.maxPerVm() == 0
                ? Integer.MAX_VALUE
                : (int) Math.max(0, rule.maxPerVm() - mVm.countRuns(step));
    }
}
