package org.knapweedbank.config;

import java.util.List;

/** Result of a change of the configuration. */
public sealed interface ApplyResult {
    /**
     * The change is accepted and in the store.
     *
     * @param generation generation in which the change is in force
     * @param changed false if the configuration was already as wanted, so that no generation was
     *     written
     * @param warnings what is accepted but probably not intended
     */
    record Applied(long generation, boolean changed, List<ConfigurationWarning> warnings)
            implements ApplyResult {}

    /**
     * Another change came first; this one has had no effect.
     *
     * @param generation generation in force, 0 if there is none
     * @param setBy operator who set it, or empty
     * @param setAt wall time of that change, ISO 8601, or empty
     */
    record Conflict(long generation, String setBy, String setAt) implements ApplyResult {}

    /**
     * The change is refused and has had no effect.
     *
     * @param errors all errors
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
