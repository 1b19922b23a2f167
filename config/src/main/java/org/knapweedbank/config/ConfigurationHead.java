package org.knapweedbank.config;

import java.util.Set;
import java.util.TreeSet;

/**
 * Value of {@code /kwb/c/config/head}: the generation in force.
 *
 * @param generation the generation
 * @param digest SHA-256 of the document in hexadecimal
 * @param removed names of the data centres out of service, so that a reader needs no second read to
 *     learn of them
 * @param writer identifier of the entry that wrote the generation, with its incarnation
 * @param sequence number of the write at that entry
 * @param change identifier that the operator's client gave to the change, or empty
 * @param operator name of the operator
 * @param at wall time of the change, ISO 8601
 */
public record ConfigurationHead(
        long generation,
        String digest,
        Set<String> removed,
        String writer,
        long sequence,
        String change,
        String operator,
        String at) {
    /** Copies the set in order of name. */
    public ConfigurationHead {
        removed = removed == null ? new TreeSet<>() : new TreeSet<>(removed);
    }
}
