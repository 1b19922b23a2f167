package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.admission.IdleRoomFit;
import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.model.Resources;

/**
 * Room that stays free although work waits, since no waiting task can use it.
 *
 * <p>Room counts only if it was free after the last round of placement and still is. Of that, the
 * tasks that wait now, including those of jobs that are not stored yet, get what they could use. A
 * VM on which tasks could run that are left without room has no idle room: a part of a VM that is
 * too small for them is theirs once a neighbour ends. Jobs that use such parts under overload made
 * fewer callers be served in time.
 */
final class IdleRoom {
    private final OwnerState mState;
    private final Supplier<List<Vm>> mVms;

    /** Free room after the last round of placement, by VM. */
    private final Map<Vm, FreeRoom> mAfterRound = new IdentityHashMap<>();

    /** Room that waiting tasks leave; empty until it is needed after a round. */
    private Optional<List<IdleVmRoom>> mLeft = Optional.empty();

    /** What steps need for which no room is left; most waiting steps need the same. */
    private final Set<Need> mUnmetNeeds = new HashSet<>();

    /**
     * Creates the view for one term.
     *
     * @param vms gives the VMs that may get start orders now and are not suspected to fail them
     */
    IdleRoom(OwnerState state, Supplier<List<Vm>> vms) {
        mState = state;
        mVms = vms;
    }

    /** Forgets all room, until the next call of {@link #handleRound}. */
    void clear() {
        mAfterRound.clear();
        mLeft = Optional.empty();
    }

    /** Notes what is free after a round of placement. */
    void handleRound() {
        clear();
        mVms.get().forEach(vm -> mAfterRound.put(vm, FreeRoom.of(vm)));
    }

    /**
     * Returns how much of each step of a kind that a new job has could start now on idle room.
     * Later steps count as well: if they only run where work waits, the job waits with that work.
     */
    IdleRoomFit fit(Job job, WorkKind kind) {
        List<Task> tasks =
                job.steps()
                        .filter(step -> JobWork.kind(step) == kind)
                        .map(step -> step.mTasks.getFirst())
                        .toList();
        List<IdleVmRoom> now = roomNow();
        // The first test is cheap, and mostly fails when the VMs are overloaded.
        if (!haveRoom(tasks, now) || !haveRoom(tasks, left(now))) {
            return IdleRoomFit.NONE;
        }
        boolean all = job.steps().allMatch(step -> haveRoomForAll(step, left(now)));
        return all ? IdleRoomFit.ALL_TASKS : IdleRoomFit.SOME_TASKS;
    }

    /** Takes the room for the first tasks of a job that has been admitted. */
    void handleAdmitted(Job job) {
        mLeft.ifPresent(rooms -> takeReadySteps(job, rooms));
    }

    private boolean haveRoom(List<Task> tasks, List<IdleVmRoom> rooms) {
        return tasks.stream().allMatch(task -> hasRoom(task, rooms));
    }

    private boolean hasRoom(Task task, List<IdleVmRoom> rooms) {
        return rooms.stream().anyMatch(room -> room.admits(task, mState.mPressureEstimator));
    }

    private boolean haveRoomForAll(Step step, List<IdleVmRoom> rooms) {
        Task task = step.mTasks.getFirst();
        int count = step.mWaitingTasks;
        for (IdleVmRoom room : rooms) {
            count -= room.count(task, count, mState.mPressureEstimator);
        }
        return count == 0;
    }

    /**
     * Returns the room that waiting tasks leave, as found before if no VM has been lost since.
     *
     * @param now the room that they find
     */
    private List<IdleVmRoom> left(List<IdleVmRoom> now) {
        Set<Vm> vms = now.stream().map(IdleVmRoom::vm).collect(Collectors.toSet());
        if (mLeft.isEmpty() || !mLeft.get().stream().map(IdleVmRoom::vm).allMatch(vms::contains)) {
            mUnmetNeeds.clear();
            mState.unfinishedJobs().forEach(job -> takeReadySteps(job, now));
            mState.mVms.values().stream()
                    .flatMap(vm -> vm.starvedFillers().stream())
                    .forEach(run -> takeForStarved(run, now));
            mLeft = Optional.of(now);
        }
        return mLeft.get();
    }

    /** Returns the room that was free after the last round and still is, the least first. */
    private List<IdleVmRoom> roomNow() {
        List<IdleVmRoom> rooms = new ArrayList<>();
        for (Vm vm : mVms.get()) {
            FreeRoom afterRound = mAfterRound.get(vm);
            if (afterRound != null) {
                rooms.add(new IdleVmRoom(vm, FreeRoom.of(vm).min(afterRound)));
            }
        }
        rooms.sort(IdleVmRoom.SMALLEST_FIRST);
        return rooms;
    }

    private void takeReadySteps(Job job, List<IdleVmRoom> rooms) {
        job.readySteps(mState.mClock.wallTime()).forEach(step -> take(step, rooms));
    }

    /** Takes room for the waiting tasks of a step, also those that wait after a failed run. */
    private void take(Step step, List<IdleVmRoom> rooms) {
        Optional<Task> task = step.mTasks.stream().filter(Task::waiting).findFirst();
        Need need = Need.of(step);
        if (task.isEmpty() || mUnmetNeeds.contains(need)) {
            return;
        }
        int count = step.mWaitingTasks;
        for (IdleVmRoom room : rooms) {
            count -= room.take(task.get(), count, mState.mPressureEstimator);
        }
        if (count > 0) {
            rooms.forEach(room -> room.addWaiting(step));
            // With a limit per VM, a step may find room that another one does not.
            if (step.mSpec.placement().maxPerVm() == 0) {
                mUnmetNeeds.add(need);
            }
        }
    }

    /** Takes room for a starved filler, which waits for more room on any VM that it may run on. */
    private void takeForStarved(Run run, List<IdleVmRoom> rooms) {
        boolean mayMove = FillerMover.mayMove(run);
        boolean moves =
                mayMove
                        && rooms.stream()
                                .filter(room -> room.vm() != run.mVm)
                                .anyMatch(room -> takesOne(run.mTask, room));
        if (!moves) {
            rooms.stream()
                    .filter(room -> mayMove || room.vm() == run.mVm)
                    .forEach(room -> room.addWaiting(run.mTask.mStep));
        }
    }

    private boolean takesOne(Task task, IdleVmRoom room) {
        return room.take(task, 1, mState.mPressureEstimator) > 0;
    }

    /** What decides on which VMs the tasks of a step have room. */
    private record Need(
            String service, WorkKind kind, Resources perTask, PlacementRule rule, String image) {
        static Need of(Step step) {
            StepSpec spec = step.mSpec;
            return new Need(
                    step.mJob.queue().service(),
                    JobWork.kind(step),
                    spec.perTask(),
                    spec.placement(),
                    spec.image());
        }
    }
}
