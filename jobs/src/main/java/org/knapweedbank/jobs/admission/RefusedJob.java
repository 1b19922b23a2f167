package org.knapweedbank.jobs.admission;

/**
 * A refused job that may be submitted again.
 *
 * @param demand what the job needs
 * @param firstRefusedAt monotonic time of its first refusal in milliseconds
 * @param refusedAt monotonic time of its latest refusal in milliseconds
 * @param refusal the latest refusal
 * @param <U> type of the urgency
 */
record RefusedJob<U>(
        JobDemand<U> demand,
        long firstRefusedAt,
        long refusedAt,
        AdmissionDecision.Refuse refusal) {}
