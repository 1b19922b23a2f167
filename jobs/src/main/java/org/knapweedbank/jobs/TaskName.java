package org.knapweedbank.jobs;

import org.knapweedbank.model.JobId;

/**
 * Name of one task of a job.
 *
 * @param job identifier of the job
 * @param occurrence number of the scheduled occurrence, 0 for a job without a timetable
 * @param step index of the step in the job
 * @param index index of the task in its step
 */
public record TaskName(JobId job, int occurrence, int step, int index) {
    private static final int PART_COUNT = 4;

    /**
     * Parses a name of the form JOB.OCCURRENCE.STEP.INDEX.
     *
     * @param text the name as text
     * @return the parsed name
     * @throws IllegalArgumentException when the text has another form
     */
    public static TaskName parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException("malformed task name: " + text);
        }
        return new TaskName(
                new JobId(parts[0]),
                Integer.parseInt(parts[1]),
                Integer.parseInt(parts[2]),
                Integer.parseInt(parts[3]));
    }

    @Override
    public String toString() {
        return job.value() + '.' + occurrence + '.' + step + '.' + index;
    }
}
