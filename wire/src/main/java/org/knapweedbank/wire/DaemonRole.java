package org.knapweedbank.wire;

/** Role of a daemon. */
public enum DaemonRole {
    /** Accepts requests of callers and operators, and owns partitions. */
    ENTRY,
    /** Runs on a worker VM and forwards requests to the upstreams there. */
    AGENT
}
