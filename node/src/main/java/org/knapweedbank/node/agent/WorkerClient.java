package org.knapweedbank.node.agent;

import java.util.function.Consumer;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;

/** Calls to the worker on the agent's VM. Each call runs its callback exactly once. */
public interface WorkerClient {
    /**
     * Starts a task.
     *
     * @param worker worker incarnation that the order is for
     * @param order the order
     * @param deadlineMillis time on the worker's clock after which the order is not carried out
     * @param term term of the owner, used as fencing token
     * @param done receives the reply
     */
    void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done);

    /**
     * Stops a run. A run that has not started yet will not start.
     *
     * @param worker worker incarnation that the order is for
     * @param task the task
     * @param run number of the run
     * @param term term of the owner, used as fencing token
     * @param done receives true if the worker has accepted the order
     */
    void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done);

    /**
     * Renews the lease of all runs and lists them.
     *
     * @param request new end of the lease and acknowledged ends
     * @param done receives the reply
     */
    void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done);

    /**
     * Sets the pace of a task, which is the percentage of full speed at which it runs.
     *
     * @param worker worker incarnation that the order is for
     * @param task the task
     * @param run number of the run
     * @param percent the pace, 0 to 100
     * @param term term of the owner, used as fencing token
     * @param done receives true if the worker has accepted the order
     */
    void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done);
}
