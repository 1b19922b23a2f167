package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A step that is examined in place of several, since hundreds wait under overload.
 *
 * @param step the step
 * @param waitingTasks number of waiting tasks of all steps that it stands for
 */
record StepSample(Step step, long waitingTasks) {
    /** Returns each n-th step, which stands for those up to the next one. */
    static Stream<StepSample> everyNth(int n, List<Step> steps) {
        return IntStream.iterate(0, i -> i < steps.size(), i -> i + n)
                .mapToObj(i -> of(steps.subList(i, Math.min(i + n, steps.size()))));
    }

    private static StepSample of(List<Step> steps) {
        long waitingTasks = steps.stream().mapToLong(step -> step.mWaitingTasks).sum();
        return new StepSample(steps.getFirst(), waitingTasks);
    }
}
