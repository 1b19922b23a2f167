package org.knapweedbank.config;

import java.util.List;

/** Planned effect of a change on the generation in force. */
sealed interface ChangePlan {
    /** The change writes a new generation. */
    record Write(StoredGeneration next, String action, List<ConfigurationWarning> warnings)
            implements ChangePlan {}

    /** The generation in force already has the requested content; nothing is written. */
    record NoChange(String action, List<ConfigurationWarning> warnings) implements ChangePlan {}

    /** The change is rejected because of errors. */
    record Reject(String action, List<ConfigurationError> errors) implements ChangePlan {}
}
