package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.reservation.DropReason;
import org.knapweedbank.jobs.reservation.Hold;
import org.knapweedbank.jobs.reservation.PlanInput;
import org.knapweedbank.jobs.reservation.Reservation;
import org.knapweedbank.jobs.reservation.ReservationPlan;
import org.knapweedbank.jobs.reservation.ReservationPlanner;
import org.knapweedbank.jobs.reservation.StepKey;
import org.knapweedbank.jobs.reservation.WaitingStep;
import org.knapweedbank.model.DaemonId;

/**
 * Reserves room for the waiting tasks that fit nowhere. Plans are made at the end of a round of
 * placement and apply from the next one; they are kept in memory only.
 */
final class RoomReserver {
    /**
     * Minimum time between two plans, in milliseconds, which bounds their cost. It is also the time
     * for which a reservation on a VM that has become unusable is kept.
     */
    private static final long PLAN_INTERVAL_MILLIS = 50;

    /** Minimum time between two log lines about an unchanged reservation, in milliseconds. */
    private static final long KEPT_LOG_INTERVAL_MILLIS = 1_000;

    private static final String COUNTER = "reservations";

    private final OwnerState mState;
    private final ReservationPlanner mPlanner;
    private final int mMaxTasks;
    private final PlanInputs mInputs;
    private final RunEndEstimator mEnds;

    /** Reservations in force by task, in the order of urgency. */
    private final Map<Task, VmHold> mHolds = new LinkedHashMap<>();

    private Map<StepKey, Long> mPausedUntil = new HashMap<>();

    /** Waiting tasks that were found in this round. */
    private final Map<TaskName, Task> mWaitingTasks = new HashMap<>();

    private final List<WaitingStep> mWaitingSteps = new ArrayList<>();

    /** Steps of the waiting tasks that were found in this round. */
    private final Set<Step> mFoundSteps = new HashSet<>();

    /** True if a plan is made at the end of this round. */
    private boolean mPlanning;

    /**
     * Number of steps that were examined in this round. It is limited, as hundreds of steps wait
     * under overload, most of them only for room that is held.
     */
    private int mExaminedSteps;

    private long mNextPlanAt = Long.MIN_VALUE;

    RoomReserver(OwnerState state) {
        mState = state;
        mPlanner = new ReservationPlanner(state.mSettings.scheduling().reservations());
        mMaxTasks = state.mSettings.scheduling().reservations().maxTasks();
        mEnds = new RunEndEstimator(state);
        mInputs = new PlanInputs(mEnds);
    }

    /** Starts a round of placement. */
    void startRound() {
        mWaitingSteps.clear();
        mWaitingTasks.clear();
        mFoundSteps.clear();
        mExaminedSteps = 0;
        mEnds.startRound();
        mPlanning = mState.reservesRoom() && mState.now() >= mNextPlanAt;
        List.copyOf(mHolds.values()).stream()
                .filter(VmHold::outdated)
                .forEach(hold -> drop(hold, DropReason.OUTDATED));
    }

    /**
     * Notes a task for which there is no room, with the other waiting tasks of its step. A pause of
     * reservations for the step ends with the first overdue task, which has no time to wait for it.
     *
     * @param task the first waiting task of the step
     * @param vms VMs of its service
     */
    void addWaiting(Task task, List<Vm> vms) {
        Step step = task.mStep;
        int limit = mMaxTasks - mWaitingTasks.size();
        if (!mPlanning
                || limit <= 0
                || mExaminedSteps >= mMaxTasks
                || step.mSpec.traits().filler()
                || mFoundSteps.contains(step)) {
            return;
        }
        if (task.overdue(mState.now())) {
            mPausedUntil.remove(StepKey.of(task.mName));
        }
        boolean reserved = mHolds.keySet().stream().anyMatch(t -> t.mStep == step);
        if (!reserved && mPausedUntil.getOrDefault(StepKey.of(task.mName), 0L) > mState.now()) {
            return;
        }
        mExaminedSteps++;
        if (!lacksRoom(task, vms, reserved)) {
            return;
        }
        List<Task> tasks =
                step.tasksInStartOrder().stream()
                        .filter(t -> t.mayStart(mState.now()))
                        .limit(limit)
                        .toList();
        tasks.forEach(t -> mWaitingTasks.put(t.mName, t));
        mFoundSteps.add(step);
        mWaitingSteps.add(mInputs.step(step, tasks, vms));
    }

    /**
     * Returns whether a task needs a reservation: its resources are free nowhere or, if its step
     * has a reservation already, only where they are kept for others.
     */
    private boolean lacksRoom(Task task, List<Vm> vms, boolean reserved) {
        PlacementLimit limit =
                VmSelector.findLimit(
                        task, vms, FillerRequirement.FULL_SPEED, mState.mPressureEstimator);
        return limit == PlacementLimit.RESERVATION || limit == PlacementLimit.HELD && reserved;
    }

    /**
     * Handles the start of a task, before its run is added to the VM. A reservation for any task of
     * the step on this VM is used, and a reservation of the task elsewhere passes to the task whose
     * reservation was used.
     */
    void handleStart(Task task, Vm vm) {
        if (mHolds.isEmpty()) {
            return;
        }
        VmHold used = findHold(task, vm);
        for (VmHold hold : vm.mHolds) {
            if (hold == used) {
                break;
            }
            hold.handleOtherStart(task);
        }
        VmHold own = mHolds.get(task);
        if (used == null) {
            if (own != null) {
                drop(own, DropReason.STARTED_ELSEWHERE);
            }
            return;
        }
        if (own != null && own != used) {
            swapTasks(own, used);
        }
        remove(used);
        log("reservation.used", task.mName, used.reservation());
        mState.mLog.count(COUNTER, "used", 1);
    }

    private void swapTasks(VmHold first, VmHold second) {
        Task task = first.mTask;
        first.mTask = second.mTask;
        second.mTask = task;
        mHolds.put(first.mTask, first);
        mHolds.put(second.mTask, second);
    }

    /** Returns the reservation that the start of a task on a VM uses, null if there is none. */
    private VmHold findHold(Task task, Vm vm) {
        VmHold own = mHolds.get(task);
        if (own != null && own.mVm == vm) {
            return own;
        }
        return vm.mHolds.stream()
                .filter(hold -> hold.mTask.mStep == task.mStep)
                .findFirst()
                .orElse(null);
    }

    /**
     * Ends a round of placement, with a new plan if one is due and there is something to plan.
     *
     * @param usable VMs that may get start orders now
     */
    void finishRound(Collection<Vm> usable) {
        if (!mPlanning || mExaminedSteps == 0 && mHolds.isEmpty()) {
            return;
        }
        mNextPlanAt = mState.now() + PLAN_INTERVAL_MILLIS;
        if (!mWaitingSteps.isEmpty() || !mHolds.isEmpty()) {
            planSafely(usable);
        }
    }

    /** Makes and applies a plan; a failure must not keep tasks from being placed without one. */
    private void planSafely(Collection<Vm> usable) {
        try {
            apply(plan(usable), usable);
        } catch (RuntimeException e) {
            mState.mLog.record("reservation.failed", "owner", "cause", e);
            List.copyOf(mHolds.values()).forEach(this::remove);
        }
    }

    private ReservationPlan plan(Collection<Vm> usable) {
        return mPlanner.plan(
                new PlanInput(
                        mState.now(),
                        mInputs.vms(usable, mWaitingSteps),
                        List.copyOf(mWaitingSteps),
                        mHolds.values().stream().map(VmHold::reservation).toList(),
                        mPausedUntil));
    }

    private void apply(ReservationPlan plan, Collection<Vm> usable) {
        mPausedUntil = new HashMap<>(plan.pausedUntil());
        plan.dropped().forEach(dropped -> logDrop(dropped.reservation(), dropped.reason()));
        Map<Task, VmHold> former = new HashMap<>(mHolds);
        List.copyOf(mHolds.values()).forEach(this::remove);
        Map<DaemonId, Vm> vms =
                usable.stream().collect(Collectors.toMap(vm -> vm.mAgent, Function.identity()));
        plan.holds().forEach(hold -> add(hold, vms.get(hold.reservation().vm()), former));
    }

    private void add(Hold hold, Vm vm, Map<Task, VmHold> former) {
        Task task = mWaitingTasks.get(hold.reservation().task());
        VmHold vmHold = new VmHold(mState, mEnds, task, vm, hold);
        VmHold previous = former.get(task);
        if (previous == null || previous.mVm != vm) {
            log("reservation.made", task.mName, hold.reservation());
        } else if (mState.now() - previous.mLoggedAt >= KEPT_LOG_INTERVAL_MILLIS) {
            log("reservation.kept", task.mName, hold.reservation());
        } else {
            vmHold.mLoggedAt = previous.mLoggedAt;
        }
        mHolds.put(task, vmHold);
        List<VmHold> holds = new ArrayList<>(vm.mHolds);
        holds.add(vmHold);
        vm.mHolds = List.copyOf(holds);
    }

    private void drop(VmHold hold, DropReason reason) {
        remove(hold);
        logDrop(hold.reservation(), reason);
    }

    private void remove(VmHold hold) {
        mHolds.remove(hold.mTask, hold);
        hold.mVm.mHolds = hold.mVm.mHolds.stream().filter(other -> other != hold).toList();
    }

    private void logDrop(Reservation reservation, DropReason reason) {
        log("reservation.dropped", reservation.task(), reservation, "reason", reason.label());
        mState.mLog.count(COUNTER, reason.label(), 1);
    }

    /**
     * Logs a reservation with the wait that was expected at first, the wait until now and the time
     * until the expected start, in milliseconds.
     */
    private void log(String event, TaskName task, Reservation reservation, Object... more) {
        List<Object> fields =
                new ArrayList<>(
                        List.of(
                                "vm",
                                reservation.vm().value(),
                                "expected_wait",
                                reservation.firstExpectedStart() - reservation.madeAt(),
                                "wait",
                                mState.now() - reservation.madeAt(),
                                "expected",
                                reservation.expectedStart() - mState.now()));
        fields.addAll(List.of(more));
        mState.mLog.record(event, task, fields.toArray());
    }
}
