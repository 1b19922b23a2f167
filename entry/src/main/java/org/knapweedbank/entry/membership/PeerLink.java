package org.knapweedbank.entry.membership;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.Goodbye;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.OperatorReply;
import org.knapweedbank.wire.StatusReply;

/** Outgoing connection to another entry. Reconnects with exponential backoff after a loss. */
final class PeerLink {
    private static final Logger LOG = LogManager.getLogger(PeerLink.class);
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final EntryRegistration mPeer;
    private final Vertx mVertx;
    private final FrameClient mClient;
    private final Hello mHello;
    private final Runnable mOnConnected;
    private final Map<Long, UniEmitter<? super Optional<Message>>> mPendingCalls =
            new ConcurrentHashMap<>();
    private final AtomicLong mLastCallId = new AtomicLong();
    private volatile FrameConnection mConnection;
    private volatile boolean mClosed;
    private long mBackoffMillis = INITIAL_BACKOFF_MILLIS;

    /**
     * Creates a link; {@link #connect()} opens the connection.
     *
     * @param peer registration of the other entry
     * @param vertx Vert.x instance that runs the timers
     * @param client client that opens the connection
     * @param hello handshake message that identifies this entry
     * @param onConnected run on an event loop each time the connection has been established
     */
    PeerLink(
            EntryRegistration peer,
            Vertx vertx,
            FrameClient client,
            Hello hello,
            Runnable onConnected) {
        mPeer = peer;
        mVertx = vertx;
        mClient = client;
        mHello = hello;
        mOnConnected = onConnected;
    }

    EntryRegistration peer() {
        return mPeer;
    }

    boolean isConnected() {
        return mConnection != null;
    }

    /** Opens the connection, unless the link has been closed. */
    void connect() {
        if (!mClosed) {
            mClient.connect(mPeer.address(), mHello)
                    .subscribe()
                    .with(
                            this::onConnectionOpened,
                            failure -> scheduleReconnect(failure.getMessage()));
        }
    }

    /** Closes the connection for good; no reconnect follows. */
    void close() {
        mClosed = true;
        FrameConnection connection = mConnection;
        if (connection != null) {
            connection.close("the entry is no longer registered");
        }
    }

    /**
     * Sends a message without waiting for a reply.
     *
     * @param message the message
     * @return false if the link is not connected or the connection rejected the message
     */
    boolean send(Message message) {
        FrameConnection connection = mConnection;
        return connection != null && connection.send(message);
    }

    /**
     * Sends a query and waits for its reply.
     *
     * @param messageFactory builds the query with the given call id
     * @param timeout longest wait for the reply
     * @return the reply, or empty if none arrived before the timeout or the connection was lost;
     *     fails if the query could not be sent
     */
    Uni<Optional<Message>> call(LongFunction<Message> messageFactory, Duration timeout) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            long id = mLastCallId.incrementAndGet();
                            mPendingCalls.put(id, emitter);
                            if (!send(messageFactory.apply(id))) {
                                mPendingCalls.remove(id);
                                emitter.fail(new IllegalStateException("not connected"));
                                return;
                            }
                            mVertx.setTimer(timeout.toMillis(), ignored -> completeCall(id, null));
                        });
    }

    private void onConnectionOpened(FrameConnection connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        LOG.info("[entry] connected to entry {} at {}", mPeer.id(), mPeer.address());
        mConnection = connection;
        mBackoffMillis = INITIAL_BACKOFF_MILLIS;
        connection.closeHandler(this::onConnectionClosed);
        connection.messageHandler(this::handleMessage);
        mOnConnected.run();
    }

    private void onConnectionClosed() {
        mConnection = null;
        List.copyOf(mPendingCalls.keySet()).forEach(id -> completeCall(id, null));
        if (!mClosed) {
            LOG.info("[entry] lost connection to entry {}; reconnecting", mPeer.id());
            scheduleReconnect("connection closed");
        }
    }

    private void scheduleReconnect(String reason) {
        if (mClosed) {
            return;
        }
        LOG.debug("[entry] not connected to entry {}: {}", mPeer.id(), reason);
        mVertx.setTimer(mBackoffMillis, ignored -> connect());
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * mBackoffMillis);
    }

    private void handleMessage(Message message) {
        switch (message) {
            case StatusReply reply -> completeCall(reply.id(), reply);
            case OperatorReply reply -> completeCall(reply.id(), reply);
            case Goodbye goodbye ->
                    LOG.debug("[entry] entry {} sent Goodbye: {}", mPeer.id(), goodbye.reason());
            default ->
                    LOG.warn(
                            "[entry] entry {} sent an unexpected {} message; ignoring it",
                            mPeer.id(),
                            message.getClass().getSimpleName());
        }
    }

    /** Completes a pending call; a null message stands for a missing reply. */
    private void completeCall(long id, Message message) {
        UniEmitter<? super Optional<Message>> emitter = mPendingCalls.remove(id);
        if (emitter != null) {
            emitter.complete(Optional.ofNullable(message));
        }
    }
}
