package org.knapweedbank.config;

import java.util.List;

/** What a change would do to the generation in force. */
sealed interface Proposal {
    /** Write a generation. */
    record Write(StoredGeneration next, String action, List<ConfigurationWarning> warnings)
            implements Proposal {}

    /** The generation in force is already as wanted. */
    record Nothing(String action, List<ConfigurationWarning> warnings) implements Proposal {}

    /** The change is refused. */
    record Refuse(String action, List<ConfigurationError> errors) implements Proposal {}
}
