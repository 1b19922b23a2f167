package org.knapweedbank.wire;

/** Traffic class, by which sent and received bytes and messages are counted. */
public enum TrafficClass {
    /** Sessions, heartbeats, task commands, configuration and exchange between entries. */
    CONTROL,
    /** Requests of callers and their responses. */
    DATA
}
