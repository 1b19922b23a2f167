package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one task of a job, written {@code JOB/INDEX}.
 *
 * @param job the job that the task belongs to
 * @param index position of the task in the job, from 0
 */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {
    /** Checks that the index is not negative. */
    public TaskId {
        if (index < 0) {
            throw new IllegalArgumentException("task index is negative: " + index);
        }
    }

    /**
     * Parses the form {@code JOB/INDEX}.
     *
     * @param text the text form
     * @return the identifier
     * @throws IllegalArgumentException when the text has another form
     */
    @JsonCreator
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1) {
            throw new IllegalArgumentException("task id is not JOB/INDEX: " + text);
        }
        JobId job = new JobId(text.substring(0, slash));
        return new TaskId(job, Integer.parseInt(text.substring(slash + 1)));
    }

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    @JsonValue
    public String toString() {
        return job.value() + "/" + index;
    }
}
