package org.knapweedbank.faults.configuration;

/** Points of a configuration change at which a fault is put. */
public enum ConfigurationStep {
    GENERATION_READ,
    CHANGE_SENT,
    CHANGE_ACCEPTED,
    SEEN_BY_ENTRY,
    PUSHED_TO_AGENT,
    IN_FORCE_AT_AGENT,
    CONFIRMED_BY_AGENT,
    DATA_CENTRE_TAKEN_OUT,
    DATA_CENTRE_TAKEN_IN
}
