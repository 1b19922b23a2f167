package org.knapweedbank.node.agent;

import java.util.function.Consumer;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;

/** Calls to the worker beside this agent. Each call answers exactly once. */
public interface WorkerClient {
    /**
     * Starts a task.
     *
     * @param worker incarnation that the order is for
     * @param order the order
     * @param deadlineMillis time on the worker's clock after which the order is not carried out
     * @param term fencing token
     * @param done receives the reply
     */
    void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done);

    /**
     * Stops a run. A run that has not started yet will not start any more.
     *
     * @param worker incarnation that the order is for
     * @param task the task
     * @param run the run
     * @param term fencing token
     * @param done receives true if the worker has taken the order
     */
    void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done);

    /**
     * Extends the lease of all that runs and lists it.
     *
     * @param request what to extend and acknowledge
     * @param done receives the reply
     */
    void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done);

    /**
     * Sets the share of its speed at which a task works.
     *
     * @param worker incarnation that the order is for
     * @param task the task
     * @param run the run
     * @param percent the share, 0 to 100
     * @param term fencing token
     * @param done receives true if the worker has taken the order
     */
    void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done);
}
