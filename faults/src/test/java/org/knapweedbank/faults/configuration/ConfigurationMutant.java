package org.knapweedbank.faults.configuration;

/** A defect that the harness puts around the configuration classes. */
public enum ConfigurationMutant {
    /** An agent takes each generation that is pushed to it. */
    OLDER_GENERATION_ACCEPTED,
    /** A change is made on the generation in force, whichever the operator saw. */
    GENERATION_SEEN_IGNORED,
    /** A lost answer counts as a refusal. */
    LOST_ANSWER_TAKEN_FOR_REFUSAL,
    /** Entries do not repeat a push that an agent has not confirmed. */
    PUSH_NOT_REPEATED
}
