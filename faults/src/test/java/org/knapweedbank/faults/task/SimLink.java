package org.knapweedbank.faults.task;

import java.time.Duration;
import org.knapweedbank.agent.AgentTestDriver;
import org.knapweedbank.control.AgentControlConnection;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.StartPermit;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskListRequest;
import org.knapweedbank.wire.TaskReport;

/** A control connection between an agent and one incarnation of an entry. */
final class SimLink implements AgentControlConnection {
    /** Shortest time that a message takes in one direction. */
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(4);

    private final TaskCellRun mCellRun;
    private final Simulation mSimulation;
    private final SimAgent mAgent;
    private final SimEntry mEntry;
    private final AgentTestDriver.LinkEvents mEvents;

    /**
     * Time of the latest scheduled delivery to the entry (index 0) and to the agent (index 1),
     * which keeps messages in order.
     */
    private final long[] mLastDeliveryNanos = new long[2];

    /** Whether either side has closed the connection or it could not be established. */
    private boolean mClosed;

    /** Sequence number of the latest heartbeat that the agent has sent. */
    private long mLastHeartbeatSeq;

    SimLink(
            TaskCellRun cellRun,
            SimAgent agent,
            String address,
            AgentTestDriver.LinkEvents events) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mAgent = agent;
        mEntry = cellRun.entry(address);
        mEvents = events;
    }

    /**
     * Establishes the connection after one round trip, or reports a failure after 1 s if the entry
     * cannot be reached.
     */
    void connect() {
        boolean reachable =
                mEntry.process().isAlive()
                        && !mCellRun.isPathCut(mAgent.vm(), mEntry.name(), true)
                        && !mCellRun.isPathCut(mAgent.vm(), mEntry.name(), false);
        if (reachable) {
            mSimulation.schedule(
                    ONE_WAY_DELAY.multipliedBy(2), () -> executeOnAgent(this::reportOpened));
        } else {
            mClosed = true;
            mSimulation.schedule(
                    Duration.ofSeconds(1),
                    () -> executeOnAgent(() -> mEvents.failed("unreachable")));
        }
    }

    /** Gives the agent its side of the connection. */
    private void reportOpened() {
        mEvents.opened(
                new AgentTestDriver.Link() {
                    @Override
                    public boolean send(Message message) {
                        return sendToEntry(message);
                    }

                    @Override
                    public void close(String reason) {
                        closeByAgent();
                    }
                });
    }

    /** Runs an event in the agent's process. */
    private void executeOnAgent(Runnable event) {
        mAgent.process().execute(event);
    }

    /** Closes the connection from the agent's side; the entry learns of it if messages reach it. */
    void closeByAgent() {
        mClosed = true;
        if (!mCellRun.isPathCut(mAgent.vm(), mEntry.name(), true)) {
            mSimulation.schedule(
                    ONE_WAY_DELAY,
                    () -> mEntry.process().execute(() -> mEntry.handleClosedLink(this)));
        }
    }

    /** Closes the connection from the entry's side; the agent learns of it if messages reach it. */
    void closeByEntry() {
        if (!mClosed && !mCellRun.isPathCut(mAgent.vm(), mEntry.name(), false)) {
            mSimulation.schedule(ONE_WAY_DELAY, () -> executeOnAgent(mEvents::closed));
        }
        mClosed = true;
    }

    /** Sends a message of the agent; returns false if the connection is closed. */
    private boolean sendToEntry(Message message) {
        if (mClosed) {
            return false;
        }
        if (message instanceof Heartbeat heartbeat) {
            mLastHeartbeatSeq = heartbeat.seq();
            if (mCellRun.mutant() == TaskMutant.SESSION_END_IGNORED) {
                long seq = heartbeat.seq();
                HeartbeatAck forged = new HeartbeatAck(seq, heartbeat.epoch(), 1);
                mSimulation.schedule(
                        ONE_WAY_DELAY, () -> executeOnAgent(() -> mEvents.message(forged)));
            }
        } else if (message instanceof TaskReport report) {
            mSimulation.trace(mAgent.vm(), "sends " + report);
            mCellRun.handleReportSent(report, mAgent.vm());
        }
        transport(
                0,
                () -> {
                    if (!mClosed) {
                        mEntry.process()
                                .execute(
                                        () ->
                                                mEntry.receive(
                                                        this,
                                                        MessageMutation.toEntry(this, message)));
                    }
                });
        return true;
    }

    @Override
    public void send(Message message) {
        if (mClosed) {
            return;
        }
        if (!(message instanceof HeartbeatAck)) {
            mSimulation.trace(mEntry.name(), "sends to " + mAgent.vm() + " " + message);
        }
        mCellRun.handleMessageSent(message, mAgent.vm());
        transport(
                1,
                () ->
                        executeOnAgent(
                                () -> {
                                    if (!mClosed) {
                                        mEvents.message(MessageMutation.toAgent(this, message));
                                    }
                                }));
    }

    /**
     * Schedules the delivery of a message, subject to the injected network and message faults.
     *
     * @param direction 0 to the entry, 1 to the agent
     */
    private void transport(int direction, Runnable delivery) {
        if (mCellRun.isPathCut(mAgent.vm(), mEntry.name(), direction == 0)) {
            return;
        }
        Fault fault = mCellRun.nextMessageFault(mAgent.vm());
        long jitterNanos = mSimulation.random().nextInt(1_000_000);
        long deliveryNanos = mSimulation.nowNanos() + ONE_WAY_DELAY.toNanos() + jitterNanos;
        switch (fault) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGES_REORDERED -> {
                long delayMillis = 50 + mSimulation.random().nextInt(4_000);
                mSimulation.schedule(Duration.ofMillis(delayMillis), delivery);
                return;
            }
            case MESSAGE_LATE ->
                    deliveryNanos += (1 + mSimulation.random().nextInt(12)) * 1_000_000_000L;
            case MESSAGE_DOUBLED ->
                    mSimulation.schedule(
                            Duration.ofMillis(5 + mSimulation.random().nextInt(8_000)), delivery);
            default -> {}
        }
        deliveryNanos = Math.max(deliveryNanos, mLastDeliveryNanos[direction] + 1);
        mLastDeliveryNanos[direction] = deliveryNanos;
        mSimulation.schedule(Duration.ofNanos(deliveryNanos - mSimulation.nowNanos()), delivery);
    }

    @Override
    public DaemonId agent() {
        return new DaemonId("agent-" + mAgent.vm());
    }

    @Override
    public long incarnation() {
        return 1;
    }

    @Override
    public DataCentreId dataCentre() {
        return new DataCentreId(mAgent.dataCentre());
    }

    @Override
    public void onSessionGranted(int partition, long epoch) {
        mCellRun.handleSessionGranted(mEntry, mAgent.vm());
        mEntry.pushConfiguration(this);
    }

    @Override
    public void close(String reason) {
        mSimulation.trace(mEntry.name(), "closes the connection of " + mAgent.vm() + ": " + reason);
        closeByEntry();
    }

    /** Alters messages in transit as a mutant requires. */
    private static final class MessageMutation {
        private MessageMutation() {}

        /** Returns the message that the entry receives instead of a message of the agent. */
        static Message toEntry(SimLink link, Message message) {
            TaskMutant mutant = link.mCellRun.mutant();
            if (mutant == TaskMutant.LOWER_EPOCH_ACCEPTED
                    && message instanceof Heartbeat heartbeat) {
                return new Heartbeat(
                        heartbeat.seq(),
                        link.mEntry.epoch(),
                        heartbeat.taskDigest(),
                        heartbeat.generation(),
                        heartbeat.upstreams(),
                        heartbeat.usage());
            }
            return message;
        }

        /** Returns the message that the agent receives instead of a message of the entry. */
        static Message toAgent(SimLink link, Message message) {
            return switch (link.mCellRun.mutant()) {
                case LOWER_EPOCH_ACCEPTED -> withEpoch(message, 1_000);
                case START_PERMIT_IGNORED ->
                        message instanceof StartTask start
                                ? withValidPermit(start, link.mLastHeartbeatSeq)
                                : message;
                case PLACED_BEFORE_LEASES_END ->
                        message instanceof SessionGrant grant
                                ? new SessionGrant(grant.partition(), grant.epoch(), 30_000)
                                : message;
                case null, default -> message;
            };
        }

        /** Returns a copy of a message with another epoch. */
        private static Message withEpoch(Message message, long epoch) {
            return switch (message) {
                case SessionGrant grant ->
                        new SessionGrant(grant.partition(), epoch, grant.ttlMillis());
                case HeartbeatAck ack -> new HeartbeatAck(ack.seq(), epoch, ack.generation());
                case TaskListRequest request -> new TaskListRequest(epoch);
                case StopTask stop -> new StopTask(epoch, stop.task(), stop.attempt());
                case CheckpointTask checkpoint ->
                        new CheckpointTask(epoch, checkpoint.task(), checkpoint.attempt());
                case Redirect redirect -> new Redirect(redirect.address(), epoch);
                case StartTask start -> copyStart(start, epoch, start.permit());
                default -> message;
            };
        }

        /**
         * Returns a copy of a start whose permit refers to the latest heartbeat.
         *
         * @param seq sequence number of that heartbeat
         */
        private static StartTask withValidPermit(StartTask start, long seq) {
            return copyStart(
                    start, start.epoch(), new StartPermit(seq, 0, start.permit().generation()));
        }

        /** Returns a copy of a start with another epoch and permit. */
        private static StartTask copyStart(StartTask start, long epoch, StartPermit permit) {
            return new StartTask(
                    epoch,
                    start.task(),
                    start.attempt(),
                    start.resources(),
                    start.service(),
                    start.command(),
                    start.checkpoint(),
                    permit);
        }
    }
}
