package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/**
 * Sends the orders of the job owner to agents. An order to an agent that is not connected is
 * dropped.
 */
public interface OwnerOutput {
    /**
     * Sends a start order.
     *
     * @param agent the agent of the VM
     * @param order the order
     * @throws RuntimeException if the order has not been sent and will not be
     */
    void start(DaemonId agent, StartOrder order);

    /**
     * Sends a stop order.
     *
     * @param agent the agent of the VM
     * @param task name of the task
     * @param run number of the run to stop
     */
    void stop(DaemonId agent, TaskName task, long run);

    /**
     * Sends the profile of a run to the agent, when the agent did not start the run itself or when
     * the profile has changed.
     *
     * @param agent the agent of the VM
     * @param task name of the task
     * @param run number of the run
     * @param profile how the run shares its VM with other runs
     */
    void sendProfile(DaemonId agent, TaskName task, long run, RunProfile profile);

    /**
     * Acknowledges ended runs, which the worker may then forget.
     *
     * @param agent the agent of the VM
     * @param number number of an ended run; the effects of this one and of all with lower numbers
     *     are stored
     */
    void acknowledgeEnds(DaemonId agent, long number);
}
