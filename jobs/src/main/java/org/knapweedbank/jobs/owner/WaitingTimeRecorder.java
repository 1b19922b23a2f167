package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Counts once a second how long ready tasks wait, by the priority of their queue and by what
 * prevents the start of the first waiting task of their step.
 */
final class WaitingTimeRecorder {
    private static final String COUNTER = "task_wait_millis";
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;

    /**
     * Maximum time that one sample stands for. After a longer pause of the owner, the tasks that
     * wait now say little about those that waited then.
     */
    private static final long MAX_SAMPLE_MILLIS = 2_000;

    /**
     * Number of steps that are examined in one sample, exceeded by at most one for each priority.
     * Of more steps, evenly spaced ones are examined, and each stands for those that follow it.
     */
    private static final int MAX_EXAMINED_STEPS = 50;

    /** All waiting tasks of the step have recently failed. */
    private static final String BACKOFF = "BACKOFF";

    /** Nothing prevents the start, or the owner may not start the task now. */
    private static final String OWNER = "OWNER";

    private final OwnerState mState;
    private long mSampledAt;

    WaitingTimeRecorder(OwnerState state) {
        mState = state;
        mSampledAt = state.now();
    }

    /**
     * Adds the waiting times since the last sample to the counters if the interval has passed.
     *
     * @param limits gives what prevents the placement of a task now; {@link PlacementLimit#NONE} if
     *     nothing does, or if the owner may not start it
     */
    void recordIfDue(Function<Task, PlacementLimit> limits) {
        long elapsed = mState.now() - mSampledAt;
        if (elapsed < SAMPLE_INTERVAL_MILLIS) {
            return;
        }
        mSampledAt = mState.now();
        long millis = Math.min(elapsed, MAX_SAMPLE_MILLIS);
        List<Step> waitingSteps = mState.readySteps().toList();
        int stride = Math.ceilDiv(waitingSteps.size(), MAX_EXAMINED_STEPS);
        waitingSteps.stream()
                .collect(Collectors.groupingBy(step -> step.mJob.queue().priority()))
                .forEach(
                        (priority, steps) ->
                                count(priority, countWaitingTasks(steps, stride, limits), millis));
    }

    private void count(int priority, Map<String, Long> tasksByCause, long millis) {
        tasksByCause.forEach(
                (cause, tasks) ->
                        mState.mLog.count(COUNTER, priority + "/" + cause, tasks * millis));
    }

    /** Returns the number of waiting tasks by cause, from an examination of each n-th step. */
    private Map<String, Long> countWaitingTasks(
            List<Step> steps, int stride, Function<Task, PlacementLimit> limits) {
        return StepSample.everyNth(stride, steps)
                .collect(
                        Collectors.groupingBy(
                                sample -> findCause(sample.step(), limits),
                                TreeMap::new,
                                Collectors.summingLong(StepSample::waitingTasks)));
    }

    /**
     * Returns what prevents the start of the first waiting task that is not held back after a
     * failure; the placement considers the tasks of a step in the same order. A task that may still
     * run on a VM which has not reported waits for the owner.
     */
    private String findCause(Step step, Function<Task, PlacementLimit> limits) {
        boolean unreported = step.mTasks.stream().anyMatch(t -> t.waiting() && !t.knownToWait());
        return step.tasksInStartOrder().stream()
                .filter(task -> task.mayStart(mState.now()))
                .findFirst()
                .map(limits)
                .map(limit -> limit == PlacementLimit.NONE ? OWNER : limit.name())
                .orElse(unreported ? OWNER : BACKOFF);
    }
}
