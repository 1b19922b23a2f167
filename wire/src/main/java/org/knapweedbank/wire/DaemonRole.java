package org.knapweedbank.wire;

/** Role of a daemon. */
public enum DaemonRole {
    /** Serves callers and operators and owns partitions. */
    ENTRY,
    /** Runs beside an upstream on a worker VM. */
    AGENT
}
