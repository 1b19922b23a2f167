package org.knapweedbank.model;

/** Kind of a job. */
public enum JobKind {
    /** Latency-critical service; its tasks are replicas that run until the job is cancelled. */
    SERVICE,
    /** Batch work; each task finishes exactly once. */
    BATCH
}
