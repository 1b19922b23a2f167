package org.knapweedbank.config;

import java.util.Set;
import java.util.TreeSet;

/**
 * Value of the key {@code /kwb/c/config/head}, which identifies the generation in force.
 *
 * @param generation the generation number
 * @param digest SHA-256 of the document in hexadecimal
 * @param removed names of the data centres out of service; kept in the head so that a reader does
 *     not have to read the document to learn of them
 * @param writer identifier of the entry that wrote the generation, with the incarnation of the
 *     entry
 * @param sequence sequence number of the write at that entry
 * @param change identifier that the operator's client gave to the change, or an empty string
 * @param operator name of the operator
 * @param at wall time of the change, in ISO 8601
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
    /** Copies the set, sorted by name; a missing set becomes empty. */
    public ConfigurationHead {
        removed = removed == null ? new TreeSet<>() : new TreeSet<>(removed);
    }
}
