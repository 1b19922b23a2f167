package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Starts tasks that are due and have room, in the order of their ranks. */
final class TaskPlacer {
    /**
     * Divisor that gives the part of a job's objective for which its fillers wait for a VM where
     * they run at full speed.
     */
    private static final int FULL_SPEED_WAIT_DIVISOR = 4;

    /**
     * Time without a running task after which a filler of the job is placed on any VM with a little
     * spare processor time, in milliseconds.
     */
    private static final long MAX_IDLE_MILLIS = 1_500;

    /**
     * Maximum reserved share of the VMs for such a placement. Above this share, a single heavily
     * throttled task would only keep its job from using room that becomes free soon.
     */
    private static final double MAX_RESERVED_SHARE = 0.6;

    private final OwnerState mState;
    private final RunTracker mRunTracker;
    private final VmTracker mVmTracker;
    private final FillerMover mFillerMover;
    private final ServingConsolidator mConsolidator;
    private final BatchProgressLogger mProgressLogger;
    private final WaitingTimeRecorder mWaitingTimes;
    private final VmUseLogger mVmUseLogger;
    private final LongRunningWaitLogger mLongRunningWaitLogger;
    private final VmAvailability mAvailability;
    private final RoomReserver mRoomReserver;

    TaskPlacer(OwnerState state, RunTracker runTracker, VmTracker vmTracker) {
        mState = state;
        mRunTracker = runTracker;
        mVmTracker = vmTracker;
        mFillerMover = new FillerMover(state, runTracker);
        mConsolidator = new ServingConsolidator(state, runTracker);
        mProgressLogger = new BatchProgressLogger(state);
        mWaitingTimes = new WaitingTimeRecorder(state);
        mVmUseLogger = new VmUseLogger(state);
        mAvailability = new VmAvailability(state);
        mLongRunningWaitLogger = new LongRunningWaitLogger(state, mAvailability);
        mRoomReserver = new RoomReserver(state);
    }

    /** Runs one round of placement. */
    void place() {
        mVmUseLogger.logIfDue();
        if (!mayStart()) {
            mWaitingTimes.recordIfDue(task -> PlacementLimit.NONE);
            mLongRunningWaitLogger.logIfDue(job -> false);
            return;
        }
        mFillerMover.startRound();
        mRoomReserver.startRound();
        boolean hasUnresolvedVms = mVmTracker.hasUnresolvedVms();
        List<Vm> usable = openVms();
        if (!hasUnresolvedVms) {
            mConsolidator.advance(trusted(usable));
        }
        List<Placement> placements =
                mState.unfinishedJobs().stream()
                        .filter(job -> job.mayStart(hasUnresolvedVms))
                        .filter(job -> hasReadyTasks(job) || mFillerMover.hasStarved(job))
                        .flatMap(this::placements)
                        .sorted(Comparator.comparing(Placement::rank))
                        .toList();
        Map<String, List<Vm>> vmsByService =
                usable.stream().collect(Collectors.groupingBy(vm -> vm.mWorker.service()));
        placements.forEach(
                placement ->
                        placeSafely(
                                placement,
                                vmsByService.getOrDefault(
                                        placement.job().queue().service(), List.of())));
        mRoomReserver.finishRound(trusted(usable));
        mProgressLogger.logIfDue(usable, this::fillerRequirement);
        mWaitingTimes.recordIfDue(
                task -> findLimit(task, vmsByService, task.mStep.mJob.mayStart(hasUnresolvedVms)));
        mLongRunningWaitLogger.logIfDue(job -> job.mayStart(hasUnresolvedVms));
    }

    /** Returns the VMs to which tasks may be moved and on which room may be reserved. */
    private static List<Vm> trusted(List<Vm> vms) {
        return vms.stream()
                .filter(vm -> !vm.mHealth.suspected() && !vm.mRefusals.backsOff())
                .toList();
    }

    /** Returns what prevents the placement of a task, other than the owner itself. */
    private PlacementLimit findLimit(
            Task task, Map<String, List<Vm>> vmsByService, boolean mayStart) {
        if (!mayStart) {
            return PlacementLimit.NONE;
        }
        Job job = task.mStep.mJob;
        List<Vm> vms = vmsByService.getOrDefault(job.queue().service(), List.of());
        return VmSelector.findLimit(
                task, vms, fillerRequirement(job, vms), mState.mPressureEstimator);
    }

    /** Returns what is placed of a job: first its overdue tasks, and then all others. */
    private Stream<Placement> placements(Job job) {
        JobUrgency urgency = mState.urgency(job);
        Placement usual = new Placement(PlacementRank.of(urgency), job, Optional.empty());
        if (!job.mHasLongRunning) {
            return Stream.of(usual);
        }
        Stream<Placement> overdue =
                WaitingTasks.overdue(job, urgency, mState.mClock.wallTime(), mState.now())
                        .map(tasks -> new Placement(tasks.rank(), job, Optional.of(tasks)));
        return Stream.concat(overdue, Stream.of(usual));
    }

    /** Places tasks of a job; a failure must not keep the other jobs from being placed. */
    private void placeSafely(Placement placement, List<Vm> vms) {
        Job job = placement.job();
        try {
            if (placement.overdue().isPresent()) {
                placeOverdue(placement.overdue().get(), vms);
            } else {
                logRankChange(job, placement.rank().urgency());
                placeJob(job, vms);
            }
        } catch (RuntimeException e) {
            mState.mLog.record("job.placement_failed", job.id().value(), "cause", e);
        }
    }

    /**
     * Logs when the number of time limits that a job will miss has changed, with the work that the
     * job has used so far.
     */
    private void logRankChange(Job job, JobUrgency urgency) {
        JobUrgency previous = job.mPreviousUrgency;
        job.mPreviousUrgency = urgency;
        if (previous == null || previous.missedLimits() == urgency.missedLimits()) {
            return;
        }
        mState.mLog.record(
                "job.rank",
                job.id().value(),
                "missed",
                urgency.missedLimits(),
                "before",
                previous.missedLimits(),
                "due",
                urgency.deadline(),
                "done_tasks",
                job.tasks().filter(task -> task.mDone).count(),
                "tasks",
                job.tasks().count(),
                "used_core_ms",
                Math.round(job.mUsedCoreMillis));
    }

    /**
     * Returns whether the ownership and the view of the configuration are recent enough to start
     * tasks.
     */
    boolean mayStart() {
        long age = mState.mViewCurrentAt.ageMillis(mState.mClock);
        return mState.ownershipConfirmed() && age <= mState.mSettings.maxViewAge().toMillis();
    }

    /** Returns the VMs that may get start orders now and are not suspected to fail them. */
    List<Vm> trustedVms() {
        return trusted(openVms());
    }

    private List<Vm> openVms() {
        return mState.mVms.values().stream().filter(mAvailability::isOpen).toList();
    }

    private static boolean hasReadyTasks(Job job) {
        return job.steps().anyMatch(Step::hasReadyTasks);
    }

    private void placeJob(Job job, List<Vm> vms) {
        if (vms.isEmpty()) {
            return;
        }
        updateLastActive(job);
        job.readySteps(mState.mClock.wallTime()).forEach(step -> placeStep(step, vms));
        mFillerMover.move(job, vms);
    }

    /** Updates the time at which a task of the job last ran. */
    private void updateLastActive(Job job) {
        boolean idle = !job.hasRuns();
        if (!idle || job.mLastActiveAt < 0) {
            job.mLastActiveAt = mState.now();
        }
    }

    /**
     * Returns what the fillers of a job require of a VM, which drops with the time that the job has
     * waited.
     */
    private FillerRequirement fillerRequirement(Job job, Collection<Vm> vms) {
        if (mState.now() - job.mLastActiveAt > MAX_IDLE_MILLIS && mostlyUnreserved(vms)) {
            return FillerRequirement.MINIMAL_SPEED;
        }
        Instant accepted = job.accepted();
        Duration objective = JobUrgency.objective(job, mState.mRunTimeEstimator);
        Instant limit = accepted.plus(objective.dividedBy(FULL_SPEED_WAIT_DIVISOR));
        return mState.mClock.wallTime().isBefore(limit)
                ? FillerRequirement.FULL_SPEED
                : FillerRequirement.REDUCED_SPEED;
    }

    /** Returns whether a large part of the processor time of the VMs is not reserved. */
    private static boolean mostlyUnreserved(Collection<Vm> vms) {
        long reserved = vms.stream().mapToLong(vm -> vm.mReserved.milliCpu()).sum();
        long capacity = vms.stream().mapToLong(vm -> vm.mWorker.capacity().milliCpu()).sum();
        return reserved <= capacity * MAX_RESERVED_SHARE;
    }

    /**
     * Starts overdue tasks of a step until one fits on no VM, other than one that waits for itself.
     */
    private void placeOverdue(WaitingTasks overdue, List<Vm> vms) {
        for (Task task : overdue.tasks()) {
            Optional<Vm> vm =
                    VmSelector.select(
                            task, vms, FillerRequirement.MINIMAL_SPEED, mState.mPressureEstimator);
            if (vm.isPresent()) {
                start(task, vm.get());
            } else if (!waitsForItself(task, vms)) {
                mRoomReserver.addWaiting(task, vms);
                return;
            }
        }
    }

    private void start(Task task, Vm vm) {
        mRoomReserver.handleStart(task, vm);
        mRunTracker.start(task, vm);
    }

    /**
     * Starts the waiting tasks of a step that are not overdue until one fits on no VM, other than
     * one that waits for itself. If the job accepts minimal speed, only one task is started.
     */
    private void placeStep(Step step, List<Vm> vms) {
        FillerRequirement fillerRequirement = fillerRequirement(step.mJob, vms);
        VmCandidates candidates = null;
        for (Task task : step.tasksInStartOrder()) {
            if (!task.mayStart(mState.now()) || task.overdue(mState.now())) {
                continue;
            }
            boolean interchangeable = VmCandidates.isInterchangeable(task);
            if (interchangeable && candidates == null) {
                candidates =
                        new VmCandidates(task, vms, fillerRequirement, mState.mPressureEstimator);
            }
            Optional<Vm> vm =
                    interchangeable
                            ? candidates.best()
                            : VmSelector.select(
                                    task, vms, fillerRequirement, mState.mPressureEstimator);
            if (vm.isEmpty() && waitsForItself(task, vms)) {
                continue;
            }
            if (vm.isEmpty()) {
                mRoomReserver.addWaiting(task, vms);
                return;
            }
            start(task, vm.get());
            if (candidates != null) {
                candidates.update(task, vm.get());
            }
            if (fillerRequirement == FillerRequirement.MINIMAL_SPEED) {
                return;
            }
        }
    }

    /**
     * Returns whether a VM would take another task of the step: it does not take this one yet, as
     * it is suspected and the task on its last attempt, or as it has just refused this task.
     */
    private boolean waitsForItself(Task task, List<Vm> vms) {
        return vms.stream()
                .anyMatch(
                        vm ->
                                vm.mHealth.refusesLastAttempt(task)
                                        || task.mRefusals.delayOrder(vm.mAgent, mState.now()));
    }

    /**
     * Placement of tasks of a job in one round.
     *
     * @param rank rank of the tasks
     * @param job the job
     * @param overdue the overdue tasks to place; empty for those that are not overdue
     */
    private record Placement(PlacementRank rank, Job job, Optional<WaitingTasks> overdue) {}
}
