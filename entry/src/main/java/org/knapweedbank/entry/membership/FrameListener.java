package org.knapweedbank.entry.membership;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.control.ControlService;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.entry.OperatorCallHandler;
import org.knapweedbank.wire.ConfigAck;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameServer;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.Goodbye;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StatusQuery;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.UpstreamDelta;

/** Listener for the connections of agents and other entries. */
public final class FrameListener {
    private static final Logger LOG = LogManager.getLogger(FrameListener.class);
    private static final int INTERNAL_ERROR = 500;

    private final EntrySettings mSettings;
    private final FrameServer mServer;
    private final ControlService mControl;
    private final Membership mMembership;
    private final OperatorCallHandler mOperatorCalls;

    /**
     * Creates the listener.
     *
     * @param settings settings of the entry
     * @param vertx event loops
     * @param registry receives the traffic counters
     * @param control receives the control messages of agents
     * @param membership membership duty
     * @param operatorCalls answers operator requests of other entries
     */
    public FrameListener(
            EntrySettings settings,
            Vertx vertx,
            MetricRegistry registry,
            ControlService control,
            Membership membership,
            OperatorCallHandler operatorCalls) {
        mSettings = settings;
        mServer =
                new FrameServer(
                        vertx,
                        settings.daemon(),
                        settings.incarnation(),
                        FrameTimeouts.DEFAULT,
                        registry);
        mControl = control;
        mMembership = membership;
        mOperatorCalls = operatorCalls;
    }

    /**
     * Opens the port.
     *
     * @return the port in use
     */
    public Uni<Integer> listen() {
        return mServer.listen(mSettings.frames().host(), mSettings.frames().port(), this::accept);
    }

    /**
     * Closes the port and all connections.
     *
     * @return completes when they are closed
     */
    public Uni<Void> close() {
        return mServer.close();
    }

    private void accept(FrameConnection connection) {
        switch (connection.hello().role()) {
            case AGENT -> {
                ConnectedAgent agent = new ConnectedAgent(connection, mMembership);
                connection.closeHandler(
                        () -> {
                            mControl.closed(agent);
                            mMembership.closed(agent);
                        });
                connection.messageHandler(message -> fromAgent(agent, message));
            }
            case ENTRY -> connection.messageHandler(message -> fromEntry(connection, message));
        }
    }

    private void fromAgent(ConnectedAgent agent, Message message) {
        switch (message) {
            case SessionOpen open -> {
                mMembership.opened(agent, open);
                mControl.opened(agent, open);
            }
            case Heartbeat heartbeat -> {
                mMembership.heartbeat(agent, heartbeat);
                mControl.received(agent, heartbeat);
            }
            case ConfigAck ack -> {
                mMembership.confirmed(agent, ack.generation());
                mControl.received(agent, ack);
            }
            case TaskList list -> mControl.received(agent, list);
            case TaskReport report -> mControl.received(agent, report);
            case Goodbye goodbye ->
                    LOG.debug("[entry] agent {}: {}", agent.agent(), goodbye.reason());
            default -> {
                LOG.warn("[entry] agent {} sent an unexpected {}", agent.agent(), name(message));
                agent.close("unexpected message");
            }
        }
    }

    private void fromEntry(FrameConnection connection, Message message) {
        switch (message) {
            case UpstreamDelta delta -> mMembership.delta(connection, delta);
            case StatusQuery query -> mMembership.query(connection, query);
            case ConfigPush push -> mMembership.offered(push);
            case OperatorCall call -> operatorCall(connection, call);
            case Goodbye goodbye ->
                    LOG.debug(
                            "[entry] entry {}: {}", connection.hello().daemon(), goodbye.reason());
            default -> {
                LOG.warn(
                        "[entry] entry {} sent an unexpected {}",
                        connection.hello().daemon(),
                        name(message));
                connection.close("unexpected message");
            }
        }
    }

    private void operatorCall(FrameConnection connection, OperatorCall call) {
        mOperatorCalls
                .handle(call)
                .onFailure()
                .recoverWithItem(
                        e -> {
                            LOG.error("[entry] forwarded operator request failed", e);
                            return new OperatorReply(call.id(), INTERNAL_ERROR, new byte[0]);
                        })
                .subscribe()
                .with(
                        reply ->
                                connection.send(
                                        new OperatorReply(
                                                call.id(), reply.status(), reply.body())));
    }

    private static String name(Message message) {
        return message.getClass().getSimpleName();
    }
}
