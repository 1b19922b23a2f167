package org.knapweedbank.model;

/** Kind of a job. */
public enum JobKind {
    /** Latency-critical service, whose tasks are replicas that run until the job is cancelled. */
    SERVICE,
    /** Batch job, each task of which finishes exactly once. */
    BATCH
}
