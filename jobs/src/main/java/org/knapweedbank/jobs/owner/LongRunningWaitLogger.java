package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Logs once a second the steps whose long-running tasks wait, with the number of VMs by what keeps
 * the task off them. A cause other than {@link PlacementLimit#RULE} and {@link
 * PlacementLimit#RESERVATION} stands for a VM that has room for the task.
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
        List<Step> steps = waitingSteps();
        int stride = Math.ceilDiv(steps.size(), MAX_EXAMINED_STEPS);
        for (int i = 0; i < steps.size(); i += stride) {
            List<Step> next = steps.subList(i, Math.min(i + stride, steps.size()));
            long tasks = next.stream().mapToLong(step -> step.mWaitingTasks).sum();
            examine(steps.get(i), tasks * elapsed, mayStart);
        }
    }

    private void examine(Step step, long waitMillis, Predicate<Job> mayStart) {
        Map<String, Integer> vmsByCause = countVms(step);
        String cause = findMainCause(step, vmsByCause, mayStart.test(step.mJob));
        mState.mLog.count(COUNTER, cause, waitMillis);
        record(step, cause, vmsByCause);
    }

    private void record(Step step, String cause, Map<String, Integer> vmsByCause) {
        Task task = firstWaiting(step);
        mState.mLog.record(
                "task.waiting",
                task.mName,
                "tasks",
                step.mWaitingTasks,
                "waited_ms",
                mState.now() - Math.max(task.mWaitingSince, mState.mTakenOverAt),
                "cause",
                cause,
                "vms",
                vmsByCause);
    }

    private List<Step> waitingSteps() {
        return mState.unfinishedJobs().stream()
                .flatMap(Job::steps)
                .filter(step -> step.mSpec.traits().longRunning())
                .filter(Step::hasReadyTasks)
                .filter(step -> step.mOccurrence.due(mState.mClock.wallTime()))
                .toList();
    }

    private static Task firstWaiting(Step step) {
        return step.tasksInStartOrder().stream().filter(Task::waiting).findFirst().orElseThrow();
    }

    private Map<String, Integer> countVms(Step step) {
        Task task = firstWaiting(step);
        String service = step.mJob.queue().service();
        return mState.mVms.values().stream()
                .filter(vm -> vm.mWorker == null || vm.mWorker.service().equals(service))
                .collect(
                        Collectors.toMap(
                                vm -> findCause(task, vm), vm -> 1, Integer::sum, TreeMap::new));
    }

    private String findCause(Task task, Vm vm) {
        if (vm.mWorker == null) {
            return VmClosure.NO_WORKER.name();
        }
        PlacementLimit limit =
                VmSelector.findLimit(
                        task,
                        List.of(vm),
                        FillerRequirement.MINIMAL_SPEED,
                        mState.mPressureEstimator);
        if (limit == PlacementLimit.RULE || limit == PlacementLimit.RESERVATION) {
            return limit.name();
        }
        return mAvailability.closure(vm).map(VmClosure::name).orElse(limit.name());
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
                .filter(entry -> !entry.getKey().equals(VmClosure.NO_WORKER.name()))
                .filter(entry -> !entry.getKey().equals(PlacementLimit.RULE.name()))
                .filter(entry -> !entry.getKey().equals(PlacementLimit.RESERVATION.name()))
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(NO_ROOM);
    }
}
