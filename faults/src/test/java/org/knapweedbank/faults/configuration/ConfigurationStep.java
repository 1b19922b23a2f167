package org.knapweedbank.faults.configuration;

/** Steps of a configuration change at which faults are injected. */
public enum ConfigurationStep {
    /** The operator has read the generation that a change is based on. */
    GENERATION_READ,
    /** The operator sends a change. */
    CHANGE_SENT,
    /** The operator has learned that a change was applied. */
    CHANGE_ACCEPTED,
    /** An entry has put a generation in force. */
    SEEN_BY_ENTRY,
    /** An entry pushes a generation to an agent. */
    PUSHED_TO_AGENT,
    /** An agent has put a generation in force. */
    IN_FORCE_AT_AGENT,
    /** An agent's heartbeat with its generation has arrived at an entry. */
    CONFIRMED_BY_AGENT,
    /** A data centre has been taken out of service. */
    DATA_CENTRE_TAKEN_OUT,
    /** A data centre has been returned to service. */
    DATA_CENTRE_TAKEN_IN
}
