package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one daemon process slot; it stays the same across restarts.
 *
 * @param value non-empty identifier from the daemon's settings
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
