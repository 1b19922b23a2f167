package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * A configuration file that was read.
 *
 * @param file name of the file, for messages
 * @param tree its content, empty when it could not be read
 * @param lines line of each JSON path, from 1
 * @param errors all errors found; empty when the file is accepted
 */
public record ParsedFile(
        String file, ObjectNode tree, Map<String, Integer> lines, List<ConfigurationError> errors) {
    /** Copies the lists. */
    public ParsedFile {
        lines = Map.copyOf(lines);
        errors = List.copyOf(errors);
    }

    /**
     * Tells whether the file is free of errors.
     *
     * @return true if so
     */
    public boolean isAccepted() {
        return errors.isEmpty();
    }
}
