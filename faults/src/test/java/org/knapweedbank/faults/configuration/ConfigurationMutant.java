package org.knapweedbank.faults.configuration;

/**
 * Defects that the harness builds around the configuration classes; each has to break an invariant.
 */
public enum ConfigurationMutant {
    /** Agents put each generation that is pushed to them in force, even an older one. */
    OLDER_GENERATION_ACCEPTED,
    /** Applies a change to the generation in force, whichever generation the operator saw. */
    GENERATION_SEEN_IGNORED,
    /** Treats a lost answer as a refusal. */
    LOST_ANSWER_TAKEN_FOR_REFUSAL,
    /** Entries do not repeat a push that an agent has not confirmed. */
    PUSH_NOT_REPEATED
}
