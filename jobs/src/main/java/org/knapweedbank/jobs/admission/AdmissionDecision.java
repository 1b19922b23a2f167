package org.knapweedbank.jobs.admission;

import java.time.Duration;

/** Decision about a submitted job. */
public sealed interface AdmissionDecision {
    /**
     * The job is admitted.
     *
     * @param queued whether it counts as work of its pool; it does not if all of its tasks have
     *     room on VMs for which no other work of the pool waits
     */
    record Admit(boolean queued) implements AdmissionDecision {
        /** Admits a job that counts. */
        public Admit() {
            this(true);
        }
    }

    /**
     * The job is refused, since it would end after its late limit.
     *
     * @param reason reason for the caller
     * @param expectedEnd time from now until the job would end
     * @param limit time from now until its late limit
     * @param workBefore work that goes before the job, in core-milliseconds
     * @param rate rate in cores at which waiting work is completed
     * @param retryAfter time after which the job could meet its limit
     */
    record Refuse(
            String reason,
            Duration expectedEnd,
            Duration limit,
            double workBefore,
            double rate,
            Duration retryAfter)
            implements AdmissionDecision {}
}
