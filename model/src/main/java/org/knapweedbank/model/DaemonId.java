package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a daemon. It comes from the daemon's settings and stays the same when the process
 * restarts.
 *
 * @param value non-empty identifier
 */
public record DaemonId(@JsonValue String value) implements Comparable<DaemonId> {
    /** Checks that the value is not empty. */
    @JsonCreator
    public DaemonId {
        Identifiers.requireNonEmpty(value, "daemon id");
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
