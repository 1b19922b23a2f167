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
     * Parses a task identifier of the form {@code JOB/INDEX}. The last slash separates the job from
     * the index, because a job identifier may contain slashes.
     *
     * @param text the identifier as text
     * @return the identifier
     * @throws IllegalArgumentException if the text is not of this form or the index is negative
     */
    @JsonCreator
    public static TaskId parse(String text) {
        int separator = text.lastIndexOf('/');
        if (separator < 1) {
            throw new IllegalArgumentException("task id is not of the form JOB/INDEX: " + text);
        }
        JobId job = new JobId(text.substring(0, separator));
        return new TaskId(job, Integer.parseInt(text.substring(separator + 1)));
    }

    @Override
    public int compareTo(TaskId other) {
        int jobOrder = job.compareTo(other.job);
        return jobOrder != 0 ? jobOrder : Integer.compare(index, other.index);
    }

    @Override
    @JsonValue
    public String toString() {
        return job.value() + "/" + index;
    }
}
