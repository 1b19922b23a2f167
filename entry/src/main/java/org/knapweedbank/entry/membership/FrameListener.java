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

/**
 * Accepts the frame connections of agents and other entries, and dispatches their messages to the
 * membership thread, the control service and the operator call handler.
 */
public final class FrameListener {
    private static final Logger LOG = LogManager.getLogger(FrameListener.class);
    private static final int INTERNAL_ERROR_STATUS = 500;

    private final EntrySettings mSettings;
    private final FrameServer mServer;
    private final ControlService mControlService;
    private final Membership mMembership;
    private final OperatorCallHandler mOperatorCallHandler;

    /**
     * Creates the listener.
     *
     * @param settings settings of the entry
     * @param vertx Vert.x instance that provides the event loops
     * @param metricRegistry registry for the traffic counters
     * @param controlService receiver of the agents' control messages
     * @param membership receiver of sessions, heartbeats and messages of other entries
     * @param operatorCallHandler handler of operator requests forwarded by other entries
     */
    public FrameListener(
            EntrySettings settings,
            Vertx vertx,
            MetricRegistry metricRegistry,
            ControlService controlService,
            Membership membership,
            OperatorCallHandler operatorCallHandler) {
        mSettings = settings;
        mServer =
                new FrameServer(
                        vertx,
                        settings.daemon(),
                        settings.incarnation(),
                        FrameTimeouts.DEFAULT,
                        metricRegistry);
        mControlService = controlService;
        mMembership = membership;
        mOperatorCallHandler = operatorCallHandler;
    }

    /**
     * Starts to listen for connections.
     *
     * @return the bound port
     */
    public Uni<Integer> listen() {
        return mServer.listen(
                mSettings.frameAddress().host(), mSettings.frameAddress().port(), this::accept);
    }

    /**
     * Stops listening and closes all connections.
     *
     * @return completes when the port and the connections are closed
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
                            mControlService.onSessionClosed(agent);
                            mMembership.onAgentDisconnected(agent);
                        });
                connection.messageHandler(message -> handleAgentMessage(agent, message));
            }
            case ENTRY ->
                    connection.messageHandler(message -> handleEntryMessage(connection, message));
        }
    }

    private void handleAgentMessage(ConnectedAgent agent, Message message) {
        switch (message) {
            case SessionOpen open -> {
                mMembership.onSessionOpen(agent, open);
                mControlService.onSessionOpen(agent, open);
            }
            case Heartbeat heartbeat -> {
                mMembership.onHeartbeat(agent, heartbeat);
                mControlService.onMessage(agent, heartbeat);
            }
            case ConfigAck ack -> {
                mMembership.onConfigurationAck(agent, ack.generation());
                mControlService.onMessage(agent, ack);
            }
            case TaskList list -> mControlService.onMessage(agent, list);
            case TaskReport report -> mControlService.onMessage(agent, report);
            case Goodbye goodbye ->
                    LOG.debug("[entry] agent {} sent Goodbye: {}", agent.agent(), goodbye.reason());
            default -> {
                LOG.warn(
                        "[entry] agent {} sent an unexpected {} message; closing connection",
                        agent.agent(),
                        typeName(message));
                agent.close("unexpected message");
            }
        }
    }

    private void handleEntryMessage(FrameConnection connection, Message message) {
        switch (message) {
            case UpstreamDelta delta -> mMembership.onUpstreamDelta(connection, delta);
            case StatusQuery query -> mMembership.onStatusQuery(connection, query);
            case ConfigPush push -> mMembership.onPeerConfiguration(push);
            case OperatorCall call -> handleOperatorCall(connection, call);
            case Goodbye goodbye ->
                    LOG.debug(
                            "[entry] entry {} sent Goodbye: {}",
                            connection.hello().daemon(),
                            goodbye.reason());
            default -> {
                LOG.warn(
                        "[entry] entry {} sent an unexpected {} message; closing connection",
                        connection.hello().daemon(),
                        typeName(message));
                connection.close("unexpected message");
            }
        }
    }

    private void handleOperatorCall(FrameConnection connection, OperatorCall call) {
        mOperatorCallHandler
                .handle(call)
                .onFailure()
                .recoverWithItem(
                        e -> {
                            LOG.error("[entry] forwarded operator request failed", e);
                            return new OperatorReply(call.id(), INTERNAL_ERROR_STATUS, new byte[0]);
                        })
                .subscribe()
                .with(
                        reply ->
                                connection.send(
                                        new OperatorReply(
                                                call.id(), reply.status(), reply.body())));
    }

    private static String typeName(Message message) {
        return message.getClass().getSimpleName();
    }
}
