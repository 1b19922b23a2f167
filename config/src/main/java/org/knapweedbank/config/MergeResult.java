package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;

/**
 * Result of merging an overlay over a base file.
 *
 * @param document the merged document; empty when there are errors in the files
 * @param errors all errors; empty when the document is accepted
 * @param warnings things that are accepted but probably not intended
 */
public record MergeResult(
        ObjectNode document, List<ConfigurationError> errors, List<ConfigurationWarning> warnings) {
    /** Copies the lists. */
    public MergeResult {
        errors = List.copyOf(errors);
        warnings = List.copyOf(warnings);
    }

    /**
     * Tells whether the document is free of errors.
     *
     * @return true if so
     */
    public boolean isAccepted() {
        return errors.isEmpty();
    }

    /**
     * The configuration that the document describes. Only for an accepted document.
     *
     * @param generation its generation
     * @param removed names of the data centres that are out of service
     * @return the configuration
     */
    public SiteConfiguration configuration(long generation, Set<String> removed) {
        if (!isAccepted()) {
            throw new IllegalStateException("the document has errors");
        }
        return ConfigurationBinder.bind(document, generation, removed);
    }
}
