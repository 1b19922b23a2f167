package org.knapweedbank.daemon;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsResult {
    /**
     * The settings are valid.
     *
     * @param settings the settings
     */
    record Accepted(DaemonSettings settings) implements SettingsResult {}

    /**
     * The settings are invalid.
     *
     * @param errors all errors found
     */
    record Rejected(List<SettingsError> errors) implements SettingsResult {
        /** Copies the list. */
        public Rejected {
            errors = List.copyOf(errors);
        }
    }
}
