package org.knapweedbank.faults.task;

import java.time.Duration;
import org.knapweedbank.agent.AgentSeam;
import org.knapweedbank.control.AgentSession;
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
final class SimLink implements AgentSession {
    private static final Duration DELAY = Duration.ofMillis(4);

    private final TaskWorld mWorld;
    private final Simulation mSimulation;
    private final SimAgent mAgent;
    private final SimEntry mEntry;
    private final AgentSeam.LinkEvents mEvents;
    private final long[] mLastDelivery = new long[2];
    private boolean mBroken;
    private long mLastSeq;

    SimLink(TaskWorld world, SimAgent agent, String address, AgentSeam.LinkEvents events) {
        mWorld = world;
        mSimulation = world.simulation();
        mAgent = agent;
        mEntry = world.entry(address);
        mEvents = events;
    }

    void connect() {
        boolean reachable =
                mEntry.process().alive()
                        && !mWorld.isCut(mAgent.vm(), mEntry.name(), true)
                        && !mWorld.isCut(mAgent.vm(), mEntry.name(), false);
        if (reachable) {
            mSimulation.after(DELAY.multipliedBy(2), () -> onAgent(this::opened));
        } else {
            mBroken = true;
            mSimulation.after(
                    Duration.ofSeconds(1), () -> onAgent(() -> mEvents.failed("unreachable")));
        }
    }

    private void opened() {
        mEvents.opened(
                new AgentSeam.Link() {
                    @Override
                    public boolean send(Message message) {
                        return sendToEntry(message);
                    }

                    @Override
                    public void close(String reason) {
                        brokenByAgent();
                    }
                });
    }

    private void onAgent(Runnable event) {
        mAgent.process().execute(event);
    }

    void brokenByAgent() {
        mBroken = true;
        if (!mWorld.isCut(mAgent.vm(), mEntry.name(), true)) {
            mSimulation.after(DELAY, () -> mEntry.process().execute(() -> mEntry.closed(this)));
        }
    }

    /** The entry, or its connection, has ended. */
    void brokenByEntry() {
        if (!mBroken && !mWorld.isCut(mAgent.vm(), mEntry.name(), false)) {
            mSimulation.after(DELAY, () -> onAgent(mEvents::closed));
        }
        mBroken = true;
    }

    private boolean sendToEntry(Message message) {
        if (mBroken) {
            return false;
        }
        if (message instanceof Heartbeat heartbeat) {
            mLastSeq = heartbeat.seq();
            if (mWorld.mutant() == TaskMutant.SESSION_END_IGNORED) {
                long seq = heartbeat.seq();
                HeartbeatAck forged = new HeartbeatAck(seq, heartbeat.epoch(), 1);
                mSimulation.after(DELAY, () -> onAgent(() -> mEvents.message(forged)));
            }
        } else if (message instanceof TaskReport report) {
            mSimulation.trace(mAgent.vm(), "sends " + report);
            mWorld.reported(report, mAgent.vm());
        }
        transport(
                0,
                () -> {
                    if (!mBroken) {
                        mEntry.process()
                                .execute(
                                        () ->
                                                mEntry.receive(
                                                        this, Mutation.toEntry(this, message)));
                    }
                });
        return true;
    }

    @Override
    public void send(Message message) {
        if (mBroken) {
            return;
        }
        if (!(message instanceof HeartbeatAck)) {
            mSimulation.trace(mEntry.name(), "sends to " + mAgent.vm() + " " + message);
        }
        mWorld.commanded(message, mAgent.vm());
        transport(
                1,
                () ->
                        onAgent(
                                () -> {
                                    if (!mBroken) {
                                        mEvents.message(Mutation.toAgent(this, message));
                                    }
                                }));
    }

    private void transport(int direction, Runnable delivery) {
        if (mWorld.isCut(mAgent.vm(), mEntry.name(), direction == 0)) {
            return;
        }
        Fault fault = mWorld.takeMessageFault(mAgent.vm());
        long jitter = mSimulation.random().nextInt(1_000_000);
        long at = mSimulation.now() + DELAY.toNanos() + jitter;
        switch (fault) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGES_REORDERED -> {
                long overtaken = 50 + mSimulation.random().nextInt(4_000);
                mSimulation.after(Duration.ofMillis(overtaken), delivery);
                return;
            }
            case MESSAGE_LATE -> at += (1 + mSimulation.random().nextInt(12)) * 1_000_000_000L;
            case MESSAGE_DOUBLED ->
                    mSimulation.after(
                            Duration.ofMillis(5 + mSimulation.random().nextInt(8_000)), delivery);
            default -> {}
        }
        at = Math.max(at, mLastDelivery[direction] + 1);
        mLastDelivery[direction] = at;
        mSimulation.after(Duration.ofNanos(at - mSimulation.now()), delivery);
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
    public void granted(int partition, long epoch) {
        mWorld.granted(mEntry, mAgent.vm());
        mEntry.pushConfiguration(this);
    }

    @Override
    public void close(String reason) {
        mSimulation.trace(mEntry.name(), "closes the connection of " + mAgent.vm() + ": " + reason);
        brokenByEntry();
    }

    /** Messages as a mutant alters them on their way. */
    private static final class Mutation {
        private Mutation() {}

        static Message toEntry(SimLink link, Message message) {
            TaskMutant mutant = link.mWorld.mutant();
            if (mutant == TaskMutant.LOWER_EPOCH_ACCEPTED && message instanceof Heartbeat beat) {
                return new Heartbeat(
                        beat.seq(),
                        link.mEntry.epoch(),
                        beat.taskDigest(),
                        beat.generation(),
                        beat.upstreams(),
                        beat.usage());
            }
            return message;
        }

        static Message toAgent(SimLink link, Message message) {
            return switch (link.mWorld.mutant()) {
                case LOWER_EPOCH_ACCEPTED -> withEpoch(message, 1_000);
                case START_PERMIT_IGNORED ->
                        message instanceof StartTask start
                                ? permitted(start, link.mLastSeq)
                                : message;
                case PLACED_BEFORE_LEASES_END ->
                        message instanceof SessionGrant grant
                                ? new SessionGrant(grant.partition(), grant.epoch(), 30_000)
                                : message;
                case null, default -> message;
            };
        }

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
                case StartTask start -> start(start, epoch, start.permit());
                default -> message;
            };
        }

        private static StartTask permitted(StartTask start, long seq) {
            return start(
                    start, start.epoch(), new StartPermit(seq, 0, start.permit().generation()));
        }

        private static StartTask start(StartTask start, long epoch, StartPermit permit) {
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
