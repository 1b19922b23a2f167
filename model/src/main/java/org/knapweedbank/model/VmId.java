package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a worker VM.
 *
 * @param value non-empty identifier
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {
    /** Checks that the value is not empty. */
    @JsonCreator
    public VmId {
        Identifiers.requireNonEmpty(value, "VM id");
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
