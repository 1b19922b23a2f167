package org.knapweedbank.jobs;

import java.util.List;
import org.knapweedbank.model.JobId;

/**
 * A job as submitted by a caller.
 *
 * @param id identifier chosen by the caller; a repeated submission with it refers to the same job
 * @param spec opaque text that is passed to each task
 * @param steps steps of the job, each after those that it depends on
 * @param timetable when the steps run
 */
public record JobSubmission(JobId id, String spec, List<StepSpec> steps, Timetable timetable) {
    /** Maximum number of occurrences of one job. */
    public static final int MAX_OCCURRENCES = 10_000;

    /**
     * Copies the steps and checks that each depends only on earlier ones.
     *
     * @throws IllegalArgumentException when there is no step, a dependency is not an earlier step,
     *     or the number of occurrences or of tasks is out of range
     */
    public JobSubmission {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("job has no steps");
        }
        for (int i = 0; i < steps.size(); i++) {
            int step = i;
            if (steps.get(i).after().stream().anyMatch(n -> n < 0 || n >= step)) {
                throw new IllegalArgumentException(
                        "step " + i + " must depend only on earlier steps");
            }
        }
        if (timetable.occurrences() < 0 || timetable.occurrences() > MAX_OCCURRENCES) {
            throw new IllegalArgumentException(
                    "number of occurrences is out of range: " + timetable.occurrences());
        }
        long tasks = steps.stream().mapToLong(StepSpec::count).sum() * timetable.occurrenceCount();
        if (tasks > Limits.MAX_TASKS) {
            throw new IllegalArgumentException("job has too many tasks: " + tasks);
        }
    }
}
