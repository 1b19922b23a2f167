package org.knapweedbank.jobs.admission;

/** Kind of work by the processor time that its tasks get. */
public enum WorkKind {
    /** Tasks that use the processor time that other tasks leave. */
    FILLER,
    /** Tasks that reserve processor time. */
    RESERVED
}
