package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Logs once a second the steps whose long-running tasks wait, with the number of VMs by what keeps
 * the task off them. A cause other than {@link PlacementLimit#RULE} and {@link
 * PlacementLimit#RESERVATION} stands for a VM that has room for the task, or would have it without
 * runs of {@link UnreleasedRuns}.
 */
final class LongRunningWaitLogger {
    private static final String COUNTER = "long_running_wait_millis";
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /**
     * Maximum number of steps that are examined and logged in one interval. Of more steps, evenly
     * spaced ones are examined, and for the counter each stands for those that follow it.
     */
    private static final int MAX_EXAMINED_STEPS = 10;

    /** No VM has room for the task. */
    private static final String NO_ROOM = "NO_ROOM";

    /** The owner itself may not start the task now. */
    private static final String OWNER = "OWNER";

    /** The task has recently failed. */
    private static final String RETRY_BACKOFF = "RETRY_BACKOFF";

    /** Causes that stand for a VM without room. */
    private static final Set<String> NO_ROOM_CAUSES =
            Set.of(
                    VmClosure.NO_WORKER.name(),
                    PlacementLimit.RULE.name(),
                    PlacementLimit.RESERVATION.name());

    private final OwnerState mState;
    private final VmAvailability mAvailability;
    private long mLoggedAt;

    LongRunningWaitLogger(OwnerState state, VmAvailability availability) {
        mState = state;
        mAvailability = availability;
        mLoggedAt = state.now();
    }

    /**
     * Logs the waiting steps if the interval has passed.
     *
     * @param mayStart whether the owner may start tasks of a job now
     */
    void logIfDue(Predicate<Job> mayStart) {
        long elapsed = mState.now() - mLoggedAt;
        if (elapsed < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedAt = mState.now();
        List<Step> steps =
                mState.readySteps().filter(step -> step.mSpec.traits().longRunning()).toList();
        if (steps.isEmpty()) {
            return;
        }
        UnreleasedRoom unreleased = UnreleasedRoom.of(mState.mVms.values(), mState.now());
        int stride = Math.ceilDiv(steps.size(), MAX_EXAMINED_STEPS);
        StepSample.everyNth(stride, steps)
                .forEach(sample -> examine(sample, elapsed, mayStart, unreleased));
    }

    private void examine(
            StepSample sample,
            long elapsedMillis,
            Predicate<Job> mayStart,
            UnreleasedRoom unreleased) {
        Step step = sample.step();
        Task task = longestWaiting(step);
        Map<String, Integer> vmsByCause = countVms(task, unreleased);
        String cause = findMainCause(step, vmsByCause, mayStart.test(step.mJob));
        mState.mLog.count(COUNTER, cause, sample.waitingTasks() * elapsedMillis);
        record(task, cause, vmsByCause);
    }

    private void record(Task task, String cause, Map<String, Integer> vmsByCause) {
        mState.mLog.record(
                "task.waiting",
                task.mName,
                "tasks",
                task.mStep.mWaitingTasks,
                "waited_ms",
                mState.now() - Math.max(task.mWaitingSince, mState.mTakenOverAt),
                "cause",
                cause,
                "vms",
                vmsByCause);
    }

    private static Task longestWaiting(Step step) {
        return step.tasksInStartOrder().stream().filter(Task::waiting).findFirst().orElseThrow();
    }

    private Map<String, Integer> countVms(Task task, UnreleasedRoom unreleased) {
        String service = task.mStep.mJob.queue().service();
        return mState.mVms.values().stream()
                .filter(vm -> vm.mWorker == null || vm.mWorker.service().equals(service))
                .collect(
                        Collectors.toMap(
                                vm -> findCause(task, vm, unreleased),
                                vm -> 1,
                                Integer::sum,
                                TreeMap::new));
    }

    private String findCause(Task task, Vm vm, UnreleasedRoom unreleased) {
        if (vm.mWorker == null) {
            return VmClosure.NO_WORKER.name();
        }
        PlacementLimit limit =
                VmSelector.findLimit(
                        task, vm, FillerRequirement.MINIMAL_SPEED, mState.mPressureEstimator);
        if (!NO_ROOM_CAUSES.contains(limit.name())) {
            return findClosure(vm).orElse(limit.name());
        }
        return unreleased
                .findRunsInTheWay(task, vm)
                .map(runs -> findClosure(vm).orElse(runs.name()))
                .orElse(limit.name());
    }

    private Optional<String> findClosure(Vm vm) {
        return mAvailability.closure(vm).map(VmClosure::name);
    }

    /** Returns what holds a step back: the most frequent cause of the VMs that have room. */
    private String findMainCause(Step step, Map<String, Integer> vmsByCause, boolean mayStart) {
        if (!mayStart) {
            return OWNER;
        }
        if (step.mTasks.stream().noneMatch(task -> task.mayStart(mState.now()))) {
            return step.mTasks.stream().anyMatch(Task::knownToWait) ? RETRY_BACKOFF : OWNER;
        }
        return vmsByCause.entrySet().stream()
                .filter(entry -> !NO_ROOM_CAUSES.contains(entry.getKey()))
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(NO_ROOM);
    }
}
