package org.knapweedbank.jobs;

import java.util.List;
import java.util.Optional;

/**
 * Full state of a VM as known to its agent.
 *
 * @param worker the worker, empty while no worker has announced itself
 * @param listed true if all runs are listed: one that is neither starting nor running nor ended is
 *     not on the VM. False while the worker has more ends than it lists at once
 * @param starting start orders whose outcome is not known
 * @param running runs that the worker lists as running
 * @param ended ended runs that the worker lists and that have not been acknowledged
 * @param excessLeaseRuledOut true if the worker can't have taken a deadline of its former
 *     incarnation, and with it a lease that the owner has not allowed; false if that is not known
 */
public record AgentReport(
        Optional<WorkerInfo> worker,
        boolean listed,
        List<RunStatus> starting,
        List<RunStatus> running,
        List<EndedRun> ended,
        boolean excessLeaseRuledOut) {
    /** Copies the lists. */
    public AgentReport {
        starting = List.copyOf(starting);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * Creates a report that does not rule out a lease which the owner has not allowed, as those of
     * earlier versions of the agent.
     */
    public AgentReport(
            Optional<WorkerInfo> worker,
            boolean listed,
            List<RunStatus> starting,
            List<RunStatus> running,
            List<EndedRun> ended) {
        this(worker, listed, starting, running, ended, false);
    }
}
