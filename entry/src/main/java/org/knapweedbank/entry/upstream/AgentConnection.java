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
 * Data connection to one agent; carries many requests, matched by id. It reconnects by itself. Used
 * on the routing event loop only.
 */
public final class AgentConnection {
    private static final Logger LOG = LogManager.getLogger(AgentConnection.class);
    private static final long FIRST_DELAY_MILLIS = 100;
    private static final long LONGEST_DELAY_MILLIS = 2_000;

    private final String mAddress;
    private final Vertx mVertx;
    private final FrameClient mClient;
    private final Hello mHello;
    private final Clock mClock;
    private final Listener mListener;
    private final Map<Long, AgentCall> mCalls = new HashMap<>();
    private FrameConnection mConnection;
    private long mNextId;
    private long mDelayMillis = FIRST_DELAY_MILLIS;
    private long mTimer = -1;
    private int mPauses;
    private boolean mClosed;

    /** Told about the connection and the load reports that it carries. */
    interface Listener {
        /**
         * The connection is open.
         *
         * @param connection the connection
         * @param roundTripNanos round trip of the negotiation, in nanoseconds
         */
        void up(AgentConnection connection, long roundTripNanos);

        /**
         * The connection is lost; its open calls have been told.
         *
         * @param connection the connection
         */
        void down(AgentConnection connection);

        /**
         * A load report has arrived.
         *
         * @param call call that it came with
         * @param load the report
         */
        void load(AgentCall call, LoadReport load);

        /**
         * The upstream moves its streams, so it is leaving; its announcement may arrive later.
         *
         * @param call call that was moved
         */
        void leaving(AgentCall call);

        /** A frame has arrived that belongs to no open call. */
        void lateFrame();
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
     * Address of the agent.
     *
     * @return HOST:PORT
     */
    public String address() {
        return mAddress;
    }

    boolean up() {
        return mConnection != null;
    }

    void connect() {
        long started = mClock.monotonicNanos();
        mClient.connect(mAddress, mHello)
                .subscribe()
                .with(
                        connection -> connected(connection, started),
                        failure -> retry(failure.getMessage()));
    }

    void close() {
        mClosed = true;
        mVertx.cancelTimer(mTimer);
        if (mConnection != null) {
            mConnection.close();
        }
    }

    /**
     * Sends a request or query. When nothing could be written, the listener is told {@code
     * NotSent}.
     *
     * @param call attempt, upstream and listener; connection and id are set here
     * @param request builds the message for an id
     * @return the call as registered
     */
    AgentCall send(AgentCall call, LongFunction<Message> request) {
        long id = ++mNextId;
        AgentCall registered =
                new AgentCall(
                        this, id, call.attempt(), call.upstream(), call.service(), call.listener());
        if (mConnection != null && mConnection.send(request.apply(id))) {
            mCalls.put(id, registered);
        } else {
            String reason = mConnection == null ? "no connection to the agent" : "agent is busy";
            call.listener().event(new PlanEvent.NotSent(call.attempt(), reason));
        }
        return registered;
    }

    /**
     * Gives up a call; frames that arrive for it later are ignored.
     *
     * @param call the call
     */
    public void cancel(AgentCall call) {
        if (mCalls.remove(call.id()) != null && mConnection != null) {
            mConnection.send(new Cancel(call.id()));
        }
    }

    /** Stops reading until {@link #resume()} has been called as often. */
    public void pause() {
        mPauses++;
        if (mPauses == 1 && mConnection != null) {
            mConnection.pause();
        }
    }

    /** Undoes one {@link #pause()}. */
    public void resume() {
        mPauses--;
        if (mPauses == 0 && mConnection != null) {
            mConnection.resume();
        }
    }

    private void connected(FrameConnection connection, long started) {
        if (mClosed) {
            connection.close();
            return;
        }
        mConnection = connection;
        mDelayMillis = FIRST_DELAY_MILLIS;
        connection.closeHandler(this::lost);
        connection.messageHandler(this::received);
        if (mPauses > 0) {
            connection.pause();
        }
        mListener.up(this, mClock.monotonicNanos() - started);
    }

    private void lost() {
        mConnection = null;
        List<AgentCall> calls = List.copyOf(mCalls.values());
        mCalls.clear();
        mListener.down(this);
        for (AgentCall call : calls) {
            call.listener()
                    .event(
                            new PlanEvent.ConnectionLost(
                                    call.attempt(), "the connection to the agent broke"));
        }
        retry("connection closed");
    }

    private void retry(String reason) {
        if (mClosed) {
            return;
        }
        LOG.debug("[entry] agent {} not connected: {}", mAddress, reason);
        mTimer = mVertx.setTimer(mDelayMillis, ignored -> connect());
        mDelayMillis = Math.min(LONGEST_DELAY_MILLIS, 2 * mDelayMillis);
    }

    private void received(Message message) {
        switch (message) {
            case ResponseHead head ->
                    with(head.id(), false, (call, id) -> call.listener().head(head));
            case ResponseChunk chunk ->
                    with(
                            chunk.id(),
                            false,
                            (call, attempt) ->
                                    call.listener()
                                            .event(
                                                    new PlanEvent.Chunk(
                                                            attempt,
                                                            chunk.index(),
                                                            chunk.bytes())));
            case ResponseEnd end -> with(end.id(), false, (call, id) -> ended(call, end));
            case NotRun notRun -> with(notRun.id(), true, (call, id) -> notRun(call, notRun));
            case OutcomeUnknown unknown ->
                    with(unknown.id(), true, (call, id) -> unknown(call, unknown));
            case StreamMoved moved -> with(moved.id(), true, (call, id) -> moved(call));
            case Goodbye goodbye -> LOG.debug("[entry] agent {}: {}", mAddress, goodbye.reason());
            default ->
                    LOG.warn(
                            "[entry] agent {} sent an unexpected {}",
                            mAddress,
                            message.getClass().getSimpleName());
        }
    }

    /** Passes a frame to its call. After a last frame the call is forgotten. */
    private void with(long id, boolean last, BiConsumer<AgentCall, Integer> action) {
        AgentCall call = last ? mCalls.remove(id) : mCalls.get(id);
        if (call == null) {
            mListener.lateFrame();
        } else {
            action.accept(call, call.attempt());
        }
    }

    private void ended(AgentCall call, ResponseEnd end) {
        mListener.load(call, end.load());
        call.listener().event(new PlanEvent.End(call.attempt(), end.chunks(), end.bytes()));
    }

    private void notRun(AgentCall call, NotRun notRun) {
        mListener.load(call, notRun.load());
        boolean failure = NotRunReasons.upstreamFailed(notRun.reason());
        call.listener().event(new PlanEvent.NotRun(call.attempt(), notRun.reason(), failure));
    }

    private void moved(AgentCall call) {
        mListener.leaving(call);
        call.listener().event(new PlanEvent.StreamMoved(call.attempt()));
    }

    private void unknown(AgentCall call, OutcomeUnknown unknown) {
        mListener.load(call, unknown.load());
        call.listener().event(new PlanEvent.OutcomeUnknown(call.attempt(), unknown.reason()));
    }

    /**
     * Forgets a call that has been answered completely.
     *
     * @param call the call
     */
    public void completed(AgentCall call) {
        mCalls.remove(call.id());
    }

    int open() {
        return mCalls.size();
    }
}
