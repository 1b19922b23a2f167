package org.knapweedbank.jobs.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Waiting tasks of one step that are placed one after the other.
 *
 * @param rank rank of the first task
 * @param step the step
 * @param tasks the tasks in the order of their ranks
 */
record WaitingTasks(PlacementRank rank, Step step, List<Task> tasks) {
    /**
     * Returns the overdue tasks of a job: for each step, those that have been refused apart from
     * the others, as they go behind the others of all steps.
     *
     * @param now monotonic time in milliseconds
     */
    static Stream<WaitingTasks> overdue(Job job, JobUrgency urgency, Instant wallTime, long now) {
        return job.readySteps(wallTime)
                .filter(step -> step.mSpec.traits().longRunning())
                .flatMap(step -> overdue(step, now))
                .map(tasks -> of(tasks, urgency, now));
    }

    private static Stream<List<Task>> overdue(Step step, long now) {
        Collection<List<Task>> groups =
                step.tasksInStartOrder().stream()
                        .filter(task -> task.overdue(now))
                        .collect(Collectors.groupingBy(task -> task.mRefusals.isEmpty()))
                        .values();
        return groups.stream();
    }

    private static WaitingTasks of(List<Task> tasks, JobUrgency urgency, long now) {
        Task first = tasks.getFirst();
        return new WaitingTasks(PlacementRank.of(first, urgency, now), first.mStep, tasks);
    }
}
