package org.knapweedbank.worker;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.model.TaskId;

/**
 * Client interface of the platform's worker on one VM. The worker stops a task when its lease
 * expires. Failures of the worker or the network do not fail the returned {@code Uni}; they are
 * reported as a {@link WorkerResult}.
 */
public interface Worker {
    /**
     * Starts an attempt of a task under a lease. The call is idempotent by task and attempt number:
     * repeating it for an attempt that the worker already lists has no effect and returns the
     * current state.
     *
     * @param start the task, attempt number, resources, lease duration and command
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> start(TaskStart start);

    /**
     * Renews the leases of all running tasks of the worker.
     *
     * @param ttl new time to live, counted from the arrival of the call at the worker
     * @return the number of tasks whose lease was renewed
     */
    Uni<WorkerResult<Integer>> renew(Duration ttl);

    /**
     * Writes a checkpoint of a running attempt and then stops the attempt. Writing may take longer
     * than the call.
     *
     * @param task the task
     * @param attempt attempt number
     * @return the state of the attempt, with the reference of the checkpoint once it is written
     */
    Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt);

    /**
     * Limits the CPU time of an attempt.
     *
     * @param task the task
     * @param attempt attempt number
     * @param share fraction of its CPU reservation that the attempt may use, in (0, 1]
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share);

    /**
     * Stops an attempt without writing a checkpoint.
     *
     * @param task the task
     * @param attempt attempt number
     * @return the state of the attempt
     */
    Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt);

    /**
     * Lists the running attempts, and the ended ones that {@link #forget} has not removed.
     *
     * @return the state of each attempt
     */
    Uni<WorkerResult<List<TaskStatus>>> list();

    /**
     * Removes an ended attempt from the worker's list. The caller does so once it has recorded the
     * end of the attempt.
     *
     * @param task the task
     * @param attempt attempt number
     * @return true if the attempt was in the worker's list
     */
    Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt);

    /**
     * Returns the resource usage of the running attempts. The samples are a few seconds old.
     *
     * @return one sample for each running attempt that has a sample
     */
    Uni<WorkerResult<List<TaskUsage>>> usage();
}
