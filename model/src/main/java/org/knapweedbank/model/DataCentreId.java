package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a data centre.
 *
 * @param value non-empty name as written in the configuration
 */
public record DataCentreId(@JsonValue String value) implements Comparable<DataCentreId> {
    /** Checks that the value is not empty. */
    @JsonCreator
    public DataCentreId {
        Identifiers.requireNonEmpty(value, "data centre");
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
