package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/** Orders of the owner to agents. An order to an agent that is not connected is dropped. */
public interface OwnerOutput {
    /**
     * Orders a start.
     *
     * @param agent the agent of the VM
     * @param order the order
     */
    void start(DaemonId agent, StartOrder order);

    /**
     * Orders a stop.
     *
     * @param agent the agent of the VM
     * @param task the task
     * @param run the run to stop
     */
    void stop(DaemonId agent, TaskName task, long run);

    /**
     * Tells the agent how a run shares its VM, if it did not start the run itself or if that has
     * changed.
     *
     * @param agent the agent of the VM
     * @param task the task
     * @param run the run
     * @param profile the profile
     */
    void describe(DaemonId agent, TaskName task, long run, RunProfile profile);

    /**
     * Acknowledges ends, which the worker may then forget.
     *
     * @param agent the agent of the VM
     * @param number all ends up to this number are stored
     */
    void acknowledgeEnds(DaemonId agent, long number);
}
