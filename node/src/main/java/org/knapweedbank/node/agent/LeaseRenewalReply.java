package org.knapweedbank.node.agent;

import java.util.List;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunningTask;

/** Reply of a worker to a request for its lists. */
public sealed interface LeaseRenewalReply {
    /**
     * The lists.
     *
     * @param workerClockMillis the worker's clock in milliseconds
     * @param incarnation start of the worker in Unix milliseconds
     * @param running its runs
     * @param ended ends that were not acknowledged
     */
    record Renewed(
            long workerClockMillis,
            long incarnation,
            List<RunningTask> running,
            List<EndedTask> ended)
            implements LeaseRenewalReply {}

    /** The worker has seen a higher fencing token. */
    record Fenced() implements LeaseRenewalReply {}

    /** Another incarnation lives at the address. */
    record OtherWorker() implements LeaseRenewalReply {}

    /**
     * No usable answer.
     *
     * @param reason cause for the log
     */
    record NoAnswer(String reason) implements LeaseRenewalReply {}
}
