package org.knapweedbank.entry.upstream;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Cancel;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.Goodbye;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.LoadReport;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.ResponseChunk;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.ResponseHead;
import org.knapweedbank.wire.StreamMoved;

/**
 * Data connection to one agent. Multiplexes many requests, whose frames are matched by call id.
 * Reconnects with exponential backoff after a loss. Used on the routing event loop only.
 */
public final class AgentConnection {
    private static final Logger LOG = LogManager.getLogger(AgentConnection.class);
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final String mAddress;
    private final Vertx mVertx;
    private final FrameClient mClient;
    private final Hello mHello;
    private final Clock mClock;
    private final Listener mListener;
    private final Map<Long, AgentCall> mOpenCalls = new HashMap<>();
    private FrameConnection mConnection;
    private long mLastCallId;
    private long mBackoffMillis = INITIAL_BACKOFF_MILLIS;
    private long mReconnectTimer = -1;
    private int mPauseCount;
    private boolean mClosed;

    /** Receives state changes of the connection and the load reports that arrive over it. */
    interface Listener {
        /**
         * Called when the connection has been established.
         *
         * @param connection the connection
         * @param roundTripNanos duration of connecting and handshake, in nanoseconds
         */
        void onConnected(AgentConnection connection, long roundTripNanos);

        /**
         * Called when the connection has been lost, before its open calls are notified.
         *
         * @param connection the connection
         */
        void onDisconnected(AgentConnection connection);

        /**
         * Called for each response that may carry a load report.
         *
         * @param call call that the response belongs to
         * @param load the report, or null
         */
        void onLoadReport(AgentCall call, LoadReport load);

        /**
         * Called when an upstream hands over its streams because it is leaving. Its announcement
         * may arrive later than this frame.
         *
         * @param call call whose stream is handed over
         */
        void onUpstreamLeaving(AgentCall call);

        /** Called for a frame that belongs to no open call. */
        void onUnmatchedFrame();
    }

    AgentConnection(
            String address,
            Vertx vertx,
            FrameClient client,
            Hello hello,
            Clock clock,
            Listener listener) {
        mAddress = address;
        mVertx = vertx;
        mClient = client;
        mHello = hello;
        mClock = clock;
        mListener = listener;
    }

    /**
     * Returns the address of the agent.
     *
     * @return HOST:PORT
     */
    public String address() {
        return mAddress;
    }

    boolean isConnected() {
        return mConnection != null;
    }

    /** Opens the connection; a failed attempt is repeated after the backoff. */
    void connect() {
        long startedNanos = mClock.monotonicNanos();
        mClient.connect(mAddress, mHello)
                .subscribe()
                .with(
                        connection -> onConnectionOpened(connection, startedNanos),
                        failure -> scheduleReconnect(failure.getMessage()));
    }

    /** Closes the connection for good; no reconnect follows. */
    void close() {
        mClosed = true;
        mVertx.cancelTimer(mReconnectTimer);
        if (mConnection != null) {
            mConnection.close();
        }
    }

    /**
     * Sends a request or query. If the message could not be written, the call's listener receives
     * {@code NotSent}.
     *
     * @param call attempt, upstream and listener; its connection and id are ignored
     * @param messageFactory builds the message with the given call id
     * @return the call with this connection and the assigned id
     */
    AgentCall send(AgentCall call, LongFunction<Message> messageFactory) {
        long id = ++mLastCallId;
        AgentCall registered =
                new AgentCall(
                        this, id, call.attempt(), call.upstream(), call.service(), call.listener());
        if (mConnection != null && mConnection.send(messageFactory.apply(id))) {
            mOpenCalls.put(id, registered);
        } else {
            String reason = mConnection == null ? "no connection to the agent" : "agent is busy";
            call.listener().onEvent(new PlanEvent.NotSent(call.attempt(), reason));
        }
        return registered;
    }

    /**
     * Cancels a call. Frames that arrive for it later are counted as unmatched and ignored.
     *
     * @param call the call
     */
    public void cancel(AgentCall call) {
        if (mOpenCalls.remove(call.id()) != null && mConnection != null) {
            mConnection.send(new Cancel(call.id()));
        }
    }

    /** Stops reading until {@link #resume()} has been called as many times as this method. */
    public void pause() {
        mPauseCount++;
        if (mPauseCount == 1 && mConnection != null) {
            mConnection.pause();
        }
    }

    /** Reverts one call of {@link #pause()}. */
    public void resume() {
        mPauseCount--;
        if (mPauseCount == 0 && mConnection != null) {
            mConnection.resume();
        }
    }

    private void onConnectionOpened(FrameConnection connection, long startedNanos) {
        if (mClosed) {
            connection.close();
            return;
        }
        mConnection = connection;
        mBackoffMillis = INITIAL_BACKOFF_MILLIS;
        connection.closeHandler(this::onConnectionClosed);
        connection.messageHandler(this::handleMessage);
        if (mPauseCount > 0) {
            connection.pause();
        }
        mListener.onConnected(this, mClock.monotonicNanos() - startedNanos);
    }

    private void onConnectionClosed() {
        mConnection = null;
        List<AgentCall> calls = List.copyOf(mOpenCalls.values());
        mOpenCalls.clear();
        mListener.onDisconnected(this);
        for (AgentCall call : calls) {
            call.listener()
                    .onEvent(
                            new PlanEvent.ConnectionLost(
                                    call.attempt(), "the connection to the agent broke"));
        }
        scheduleReconnect("connection closed");
    }

    private void scheduleReconnect(String reason) {
        if (mClosed) {
            return;
        }
        LOG.debug("[entry] not connected to agent {}: {}", mAddress, reason);
        mReconnectTimer = mVertx.setTimer(mBackoffMillis, ignored -> connect());
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * mBackoffMillis);
    }

    private void handleMessage(Message message) {
        switch (message) {
            case ResponseHead head ->
                    dispatch(head.id(), false, (call, id) -> call.listener().onHead(head));
            case ResponseChunk chunk ->
                    dispatch(
                            chunk.id(),
                            false,
                            (call, attempt) ->
                                    call.listener()
                                            .onEvent(
                                                    new PlanEvent.Chunk(
                                                            attempt,
                                                            chunk.index(),
                                                            chunk.bytes())));
            case ResponseEnd end -> dispatch(end.id(), false, (call, id) -> handleEnd(call, end));
            case NotRun notRun ->
                    dispatch(notRun.id(), true, (call, id) -> handleNotRun(call, notRun));
            case OutcomeUnknown unknown ->
                    dispatch(unknown.id(), true, (call, id) -> handleOutcomeUnknown(call, unknown));
            case StreamMoved moved ->
                    dispatch(moved.id(), true, (call, id) -> handleStreamMoved(call));
            case Goodbye goodbye ->
                    LOG.debug("[entry] agent {} sent Goodbye: {}", mAddress, goodbye.reason());
            default ->
                    LOG.warn(
                            "[entry] agent {} sent an unexpected {} message; ignoring it",
                            mAddress,
                            message.getClass().getSimpleName());
        }
    }

    /**
     * Passes a frame to its open call.
     *
     * @param id call id of the frame
     * @param removesCall true to remove the call, because no further frame follows; after a {@code
     *     ResponseEnd}, the call is removed by {@link #removeCompleted(AgentCall)}
     * @param action receives the call and the number of its attempt
     */
    private void dispatch(long id, boolean removesCall, BiConsumer<AgentCall, Integer> action) {
        AgentCall call = removesCall ? mOpenCalls.remove(id) : mOpenCalls.get(id);
        if (call == null) {
            mListener.onUnmatchedFrame();
        } else {
            action.accept(call, call.attempt());
        }
    }

    private void handleEnd(AgentCall call, ResponseEnd end) {
        mListener.onLoadReport(call, end.load());
        call.listener().onEvent(new PlanEvent.End(call.attempt(), end.chunks(), end.bytes()));
    }

    private void handleNotRun(AgentCall call, NotRun notRun) {
        mListener.onLoadReport(call, notRun.load());
        boolean upstreamFailed = NotRunReasons.isUpstreamFailure(notRun.reason());
        call.listener()
                .onEvent(new PlanEvent.NotRun(call.attempt(), notRun.reason(), upstreamFailed));
    }

    private void handleStreamMoved(AgentCall call) {
        mListener.onUpstreamLeaving(call);
        call.listener().onEvent(new PlanEvent.StreamMoved(call.attempt()));
    }

    private void handleOutcomeUnknown(AgentCall call, OutcomeUnknown unknown) {
        mListener.onLoadReport(call, unknown.load());
        call.listener().onEvent(new PlanEvent.OutcomeUnknown(call.attempt(), unknown.reason()));
    }

    /**
     * Removes a call whose response is complete. No message is sent to the agent.
     *
     * @param call the call
     */
    public void removeCompleted(AgentCall call) {
        mOpenCalls.remove(call.id());
    }

    /** Returns the number of calls whose response is not complete. */
    int openCallCount() {
        return mOpenCalls.size();
    }
}
