package org.knapweedbank.jobs;

import java.util.List;
import java.util.Optional;

/**
 * Full state of one VM as its agent knows it.
 *
 * @param worker the worker, empty while none has announced itself
 * @param listed true if the lists come from the worker, asked under the term of the receiver
 * @param starting start orders without a known outcome
 * @param running runs that the worker lists
 * @param ended ends that the worker lists and that have not been acknowledged
 */
public record AgentReport(
        Optional<WorkerInfo> worker,
        boolean listed,
        List<RunningTask> starting,
        List<RunningTask> running,
        List<EndedTask> ended) {
    /** Copies the lists. */
    public AgentReport {
        starting = List.copyOf(starting);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
