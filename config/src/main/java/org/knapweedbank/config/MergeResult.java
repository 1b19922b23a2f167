package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;

/**
 * Holds the result of merging an overlay over a base file.
 *
 * @param document the merged document; an empty object if one of the files has errors
 * @param errors all errors found; empty if the document is accepted
 * @param warnings parts of the document that are accepted but probably not intended
 */
public record MergeResult(
        ObjectNode document, List<ConfigurationError> errors, List<ConfigurationWarning> warnings) {
    /** Copies both lists. */
    public MergeResult {
        errors = List.copyOf(errors);
        warnings = List.copyOf(warnings);
    }

    /**
     * Returns whether the document has no errors.
     *
     * @return true if there are no errors
     */
    public boolean isAccepted() {
        return errors.isEmpty();
    }

    /**
     * Converts the document to a configuration.
     *
     * @param generation generation number of the configuration
     * @param removed names of the data centres that are out of service
     * @return the configuration
     * @throws IllegalStateException if the document has errors
     */
    public SiteConfiguration toConfiguration(long generation, Set<String> removed) {
        if (!isAccepted()) {
            throw new IllegalStateException(
                    "cannot create a configuration from a document with errors");
        }
        return ConfigurationBinder.bind(document, generation, removed);
    }
}
