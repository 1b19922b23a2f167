package org.knapweedbank.node.link;

import java.util.List;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;

/** Message between two processes. */
public sealed interface NodeMessage {
    /**
     * First message of an agent.
     *
     * @param agent the agent
     * @param processStartMillis start of the agent's process in Unix milliseconds
     * @param dataCentre where its VM is
     */
    record AgentHello(DaemonId agent, long processStartMillis, DataCentreId dataCentre)
            implements NodeMessage {}

    /**
     * First message of an entry.
     *
     * @param entry the entry
     */
    record EntryHello(DaemonId entry) implements NodeMessage {}

    /**
     * Answer of the owner to the first message.
     *
     * @param term term of its ownership
     */
    record Welcome(long term) implements NodeMessage {}

    /**
     * Answer of a process that is not the owner.
     *
     * @param owner address of the owner, empty if unknown
     */
    record Redirect(String owner) implements NodeMessage {}

    /**
     * Request of an agent for authority over the leases on its VM.
     *
     * @param number number of the request
     */
    record Ping(long number) implements NodeMessage {}

    /**
     * The owner grants the request.
     *
     * @param number number of the request
     */
    record Pong(long number) implements NodeMessage {}

    /**
     * Full state of a VM.
     *
     * @param report the state
     */
    record Report(AgentReport report) implements NodeMessage {}

    /**
     * All that a worker runs.
     *
     * @param worker the worker
     * @param running its runs
     */
    record Progress(WorkerId worker, List<RunningTask> running) implements NodeMessage {}

    /**
     * New ends on a worker.
     *
     * @param worker the worker
     * @param ends the ends in order of their numbers
     */
    record Ends(WorkerId worker, List<EndedTask> ends) implements NodeMessage {}

    /**
     * What became of a start order.
     *
     * @param task the task
     * @param run its run
     * @param outcome the outcome
     */
    record Outcome(TaskName task, long run, StartOutcome outcome) implements NodeMessage {}

    /**
     * A worker has changed what it says of itself.
     *
     * @param worker the worker
     */
    record WorkerUpdate(WorkerInfo worker) implements NodeMessage {}

    /**
     * A worker is gone, with all that ran there.
     *
     * @param worker the worker
     * @param reason cause for the log
     */
    record WorkerLost(WorkerId worker, String reason) implements NodeMessage {}

    /**
     * Order to start a task.
     *
     * @param worker worker that the order is for
     * @param permit number of the newest request of the agent that the owner had received; the
     *     agent refuses an order whose permit is too old
     * @param order the order
     */
    record Start(WorkerId worker, long permit, StartOrder order) implements NodeMessage {}

    /**
     * Order to stop a run.
     *
     * @param task the task
     * @param run the run
     */
    record Stop(TaskName task, long run) implements NodeMessage {}

    /**
     * What the agent has to know of a run that an earlier owner or agent process started.
     *
     * @param task the task
     * @param run the run
     * @param pressure expected rise of utilization that it causes; 0 if it must not be paced
     * @param latencyObjective bound on its tail latency, zero if none
     */
    record Describe(TaskName task, long run, RunProfile profile) implements NodeMessage {}

    /**
     * Ends that are stored.
     *
     * @param number all ends up to this number
     */
    record EndsStored(long number) implements NodeMessage {}

    /**
     * Request of a caller that an entry passes to the owner.
     *
     * @param number number of the call on its connection
     * @param request the request
     */
    record Call(long number, CallRequest request) implements NodeMessage {}

    /**
     * Word to a former owner, which may be cut off from the store and not know that it is one.
     *
     * @param term term of the present owner
     * @param owner address of the present owner
     */
    record Superseded(long term, String owner) implements NodeMessage {}

    /**
     * Request of an owner whose writes fail to an entry: to take the ownership over if the store
     * answers there.
     *
     * @param term term of the asking owner
     */
    record TakeOver(long term) implements NodeMessage {}

    /**
     * Answer of the owner.
     *
     * @param number number of the call
     * @param answer the answer
     */
    record Reply(long number, CallAnswer answer) implements NodeMessage {}
}
