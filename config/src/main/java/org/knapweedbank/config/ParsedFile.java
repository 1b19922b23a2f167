package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * Holds the content of a configuration file and the errors found in it.
 *
 * @param file name of the file, used in error messages
 * @param tree the content; an empty object if the file could not be parsed
 * @param lines line number of each JSON path in the file, starting at 1
 * @param errors all errors found; empty if the file is accepted
 */
public record ParsedFile(
        String file, ObjectNode tree, Map<String, Integer> lines, List<ConfigurationError> errors) {
    /** Copies the map and the list. */
    public ParsedFile {
        lines = Map.copyOf(lines);
        errors = List.copyOf(errors);
    }

    /**
     * Returns whether the file has no errors.
     *
     * @return true if there are no errors
     */
    public boolean isAccepted() {
        return errors.isEmpty();
    }
}
