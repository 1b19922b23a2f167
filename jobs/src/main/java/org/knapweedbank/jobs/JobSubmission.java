package org.knapweedbank.jobs;

import java.util.List;
import org.knapweedbank.model.JobId;

/**
 * What a caller submits.
 *
 * @param id identifier that the caller has chosen; a repeat is the same job
 * @param spec opaque text that each task receives
 * @param steps the steps; a step comes after those that it depends on
 * @param timetable when the steps run
 */
public record JobSubmission(JobId id, String spec, List<StepSpec> steps, Timetable timetable) {
    /** Most occurrences of one job. */
    public static final int MAX_OCCURRENCES = 10_000;

    /** Checks that steps depend only on earlier steps. */
    public JobSubmission {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job has no step");
        }
        for (int i = 0; i < steps.size(); i++) {
            int step = i;
            if (steps.get(i).after().stream().anyMatch(n -> n < 0 || n >= step)) {
                throw new IllegalArgumentException("step " + i + " depends on a later step");
            }
        }
        if (timetable.occurrences() < 0 || timetable.occurrences() > MAX_OCCURRENCES) {
            throw new IllegalArgumentException("occurrences: " + timetable.occurrences());
        }
    }
}
