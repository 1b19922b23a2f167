package org.knapweedbank.node.link;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;

/** Message between two processes: an agent or entry and the owner. */
public sealed interface NodeMessage {
    /**
     * First message of an agent on a link to the owner.
     *
     * @param agent name of the agent
     * @param processStartMillis start of the agent's process in Unix milliseconds
     * @param dataCentre data centre of the agent's VM
     */
    record AgentHello(DaemonId agent, long processStartMillis, DataCentreId dataCentre)
            implements NodeMessage {}

    /**
     * First message of an entry on a link to the owner.
     *
     * @param entry name of the entry
     */
    record EntryHello(DaemonId entry) implements NodeMessage {}

    /**
     * Answer of the owner to the first message on a link.
     *
     * @param term term of the owner
     * @param takesRegistrations whether the owner knows the message {@link Registration}, which
     *     earlier versions refuse
     */
    record Welcome(long term, boolean takesRegistrations) implements NodeMessage {}

    /**
     * Answer of an entry that is not the owner to the first message on a link.
     *
     * @param ownerAddress address of the owner, empty if unknown
     */
    record Redirect(String ownerAddress) implements NodeMessage {}

    /**
     * Request of an agent for authority to extend the leases on its VM.
     *
     * @param number number of the request
     * @param worker worker whose leases are meant; empty while the agent has none that answers it
     */
    record Ping(long number, Optional<WorkerId> worker) implements NodeMessage {}

    /**
     * Grant of a lease request by the owner.
     *
     * @param number number of the request
     */
    record Pong(long number) implements NodeMessage {}

    /**
     * Full state of a VM, sent by its agent.
     *
     * @param grant number of the newest {@link Pong} that the agent had received when it requested
     *     the worker's lists, 0 if none; tells the owner how old they may be
     * @param report the state
     */
    record Report(long grant, AgentReport report) implements NodeMessage {}

    /**
     * All runs on a worker, sent periodically.
     *
     * @param grant number of the newest {@link Pong} that the agent had received when it requested
     *     the worker's latest conclusive lists, 0 if none
     * @param worker the worker
     * @param starting runs whose start has no known outcome; the worker may have started them
     * @param running its runs
     * @param missing those of the starting and running ones that the worker does not run any more
     *     and will not start, although how they ended could not be read for some time
     */
    record Progress(
            long grant,
            WorkerId worker,
            List<RunStatus> starting,
            List<RunStatus> running,
            List<RunStatus> missing)
            implements NodeMessage {}

    /**
     * New ends of runs on a worker.
     *
     * @param worker the worker
     * @param ends the ends in order of their numbers
     */
    record Ends(WorkerId worker, List<EndedRun> ends) implements NodeMessage {}

    /**
     * Outcome of a start order.
     *
     * @param task the task
     * @param run its run
     * @param outcome the outcome
     */
    record Outcome(TaskName task, long run, StartOutcome outcome) implements NodeMessage {}

    /**
     * Change of a worker's reported properties.
     *
     * @param worker the worker
     */
    record WorkerUpdate(WorkerInfo worker) implements NodeMessage {}

    /**
     * Statement that nothing runs on the agent's VM, since no worker on it holds a lease. An agent
     * sends it when it becomes true and on each new link while it holds, as the owner may know of
     * runs there from another agent process or from an earlier owner.
     *
     * @param reason cause for the log
     */
    record NoWorker(String reason) implements NodeMessage {}

    /**
     * Order to start a task.
     *
     * @param worker worker that the order is for
     * @param permit number of the agent's newest {@link Ping} that the owner had received; the
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
     * Profile of a run that was started by an earlier owner or by an earlier process of the agent.
     *
     * @param task the task
     * @param run the run
     * @param profile pressure, rank and latency objective of the run; a run with a pressure of 0
     *     must not be throttled
     */
    record Describe(TaskName task, long run, RunProfile profile) implements NodeMessage {}

    /**
     * Acknowledgement that ends are stored.
     *
     * @param worker worker that listed the ends; each incarnation numbers its ends from 1
     * @param number number up to which all ends are stored
     */
    record EndsStored(WorkerId worker, long number) implements NodeMessage {}

    /**
     * Request of a caller that an entry forwards to the owner.
     *
     * @param number number of the call, unique within the sending entry
     * @param request the request
     */
    record Call(long number, CallRequest request) implements NodeMessage {}

    /**
     * Notice to a former owner, which may be cut off from the store and unaware of the new term.
     *
     * @param term term of the current owner
     * @param ownerAddress address of the current owner
     */
    record Superseded(long term, String ownerAddress) implements NodeMessage {}

    /**
     * Request of an owner whose writes fail that another entry take over, provided that the store
     * answers that entry.
     *
     * @param term term of the requesting owner
     */
    record TakeOver(long term) implements NodeMessage {}

    /**
     * Query of the owner to another entry whether it has begun a later term.
     *
     * @param term term of the owner
     * @param number number of the query
     */
    record TermQuery(long term, long number) implements NodeMessage {}

    /**
     * Statement of an entry that it has begun no term later than that of the query.
     *
     * @param number number of the query
     */
    record TermAnswer(long number) implements NodeMessage {}

    /**
     * Statement of an entry to a new owner: it answers no query of an owner of an earlier term any
     * more.
     *
     * @param revision revision of the entry's key in the store
     * @param registeredMillis for how long the entry has been registered with it
     */
    record Registration(long revision, long registeredMillis) implements NodeMessage {}

    /** Statement of an entry that it is stopping and will begin no term any more. */
    record Withdrawal() implements NodeMessage {}

    /**
     * Answer of the owner to a forwarded call.
     *
     * @param number number of the call
     * @param answer the answer
     */
    record Reply(long number, CallAnswer answer) implements NodeMessage {}
}
