package org.knapweedbank.worker;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.model.TaskId;

/**
 * A worker of the platform on one VM. A {@code Uni} never fails for reasons of the worker or the
 * network: those are values of {@link WorkerResult}. A task whose lease expires is stopped by the
 * worker.
 */
public interface Worker {
    /**
     * Starts a task under a lease. Idempotent by task and attempt: a repeat for an attempt that is
     * held or has ended has no further effect and reports the present state.
     *
     * @param start the task, its attempt, resources, lease time and command
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> start(TaskStart start);

    /**
     * Extends the leases of all running tasks of the worker.
     *
     * @param ttl new time to live, from now on
     * @return number of tasks whose lease was extended
     */
    Uni<WorkerResult<Integer>> renew(Duration ttl);

    /**
     * Saves a checkpoint of a task and stops it.
     *
     * @param task the task
     * @param attempt its attempt
     * @return the state, with the checkpoint's reference once it has been written
     */
    Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt);

    /**
     * Limits the processor time of a task.
     *
     * @param task the task
     * @param attempt its attempt
     * @param share share of its resources, from 0 (exclusive) to 1
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share);

    /**
     * Stops a task without a checkpoint.
     *
     * @param task the task
     * @param attempt its attempt
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt);

    /**
     * Lists the attempts that the worker runs, and those that have ended and were not forgotten.
     *
     * @return the attempts
     */
    Uni<WorkerResult<List<TaskStatus>>> list();

    /**
     * Forgets an attempt that has ended, after its end has been recorded elsewhere.
     *
     * @param task the task
     * @param attempt its attempt
     * @return true if the attempt was known
     */
    Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt);

    /**
     * Reads the usage of the running tasks; the figures lag behind by some seconds.
     *
     * @return one sample for each running task
     */
    Uni<WorkerResult<List<TaskUsage>>> usage();
}
