package org.knapweedbank.jobs.owner;

import java.time.Duration;
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
     * Tells the agent how a run behaves that it did not start itself.
     *
     * @param agent the agent of the VM
     * @param task the task
     * @param run the run
     * @param pressure as in {@link StartOrder#pressure}
     * @param latencyObjective as in {@link StartOrder#latencyObjective}
     */
    void describe(
            DaemonId agent, TaskName task, long run, double pressure, Duration latencyObjective);

    /**
     * Acknowledges ends, which the worker may then forget.
     *
     * @param agent the agent of the VM
     * @param number all ends up to this number are stored
     */
    void acknowledgeEnds(DaemonId agent, long number);
}
