package org.knapweedbank.node.agent;

import java.util.List;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunStatus;

/** Reply of a worker to a lease renewal. */
public sealed interface LeaseRenewalReply {
    /**
     * The renewal was accepted; lists the worker's runs.
     *
     * @param workerClockMillis time of the worker's clock
     * @param incarnation start of the worker's process in Unix milliseconds
     * @param running runs on the worker
     * @param ended ends of runs that the agent has not acknowledged
     * @param complete false if entries of the lists could not be read and are left out
     * @param allEnds false if the worker may have more ends to list than fit in the reply; a run
     *     that is in neither list may then have ended
     * @param allRuns false if entries of the list of runs could not be read and are left out
     */
    record Renewed(
            long workerClockMillis,
            long incarnation,
            List<RunStatus> running,
            List<EndedRun> ended,
            boolean complete,
            boolean allEnds,
            boolean allRuns)
            implements LeaseRenewalReply {
        /** Creates a reply of which it is not known in which list entries could not be read. */
        public Renewed(
                long workerClockMillis,
                long incarnation,
                List<RunStatus> running,
                List<EndedRun> ended,
                boolean complete,
                boolean allEnds) {
            this(workerClockMillis, incarnation, running, ended, complete, allEnds, complete);
        }

        /**
         * Returns whether a run that is in neither list was not on the worker when it made them,
         * and has no end that the worker still keeps.
         *
         * @return true if nothing is left out of the lists
         */
        public boolean conclusive() {
            return complete && allEnds;
        }
    }

    /** The worker has seen a higher fencing token. */
    record Fenced() implements LeaseRenewalReply {}

    /** Another incarnation of the worker answers at the address. */
    record OtherWorker() implements LeaseRenewalReply {}

    /**
     * No process accepts connections at the worker's address; the call was not sent.
     *
     * @param reason cause for the log
     */
    record NotListening(String reason) implements LeaseRenewalReply {}

    /**
     * There was no answer, or it was not understood.
     *
     * @param reason cause for the log
     */
    record NoAnswer(String reason) implements LeaseRenewalReply {}
}
