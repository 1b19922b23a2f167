package org.knapweedbank.config;

import java.util.List;

/** Result of a requested configuration change. */
public sealed interface ApplyResult {
    /**
     * The change was accepted and is in the store.
     *
     * @param generation generation that contains the change
     * @param changed false if the configuration already had the requested content, so that no new
     *     generation was written
     * @param warnings parts of the document that are accepted but probably not intended
     */
    record Applied(long generation, boolean changed, List<ConfigurationWarning> warnings)
            implements ApplyResult {}

    /**
     * Another change was made first; this one had no effect.
     *
     * @param generation generation in force, 0 if there is none
     * @param setBy operator who set that generation, or an empty string
     * @param setAt wall time at which it was set, in ISO 8601, or an empty string
     */
    record Conflict(long generation, String setBy, String setAt) implements ApplyResult {}

    /**
     * The change was rejected because of errors and had no effect.
     *
     * @param errors all errors found
     */
    record Rejected(List<ConfigurationError> errors) implements ApplyResult {}

    /**
     * The change was not applied and will not be.
     *
     * @param reason what failed
     */
    record Unavailable(String reason) implements ApplyResult {}

    /**
     * The change may have been applied or may be applied later.
     *
     * @param reason what failed
     */
    record Unknown(String reason) implements ApplyResult {}
}
