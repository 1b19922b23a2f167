package org.knapweedbank.wire;

/** Class of traffic by which bytes and messages are counted. */
public enum Traffic {
    /** Sessions, heartbeats, task commands, configuration and exchange between entries. */
    CONTROL,
    /** Requests and answers. */
    DATA
}
