package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a job, unique over the lifetime of a deployment.
 *
 * @param value non-empty identifier
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {
    /** Checks that the value is not empty. */
    @JsonCreator
    public JobId {
        Identifiers.requireNonEmpty(value, "job id");
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
