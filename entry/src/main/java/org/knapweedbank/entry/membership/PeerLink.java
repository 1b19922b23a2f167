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

/** Connection that this entry has opened to another one. It reconnects by itself. */
final class PeerLink {
    private static final Logger LOG = LogManager.getLogger(PeerLink.class);
    private static final long FIRST_DELAY_MILLIS = 200;
    private static final long LONGEST_DELAY_MILLIS = 2_000;

    private final EntryRegistration mPeer;
    private final Vertx mVertx;
    private final FrameClient mClient;
    private final Hello mHello;
    private final Runnable mUp;
    private final Map<Long, UniEmitter<? super Optional<Message>>> mCalls =
            new ConcurrentHashMap<>();
    private final AtomicLong mNextId = new AtomicLong();
    private volatile FrameConnection mConnection;
    private volatile boolean mClosed;
    private long mDelayMillis = FIRST_DELAY_MILLIS;

    /**
     * Creates a link.
     *
     * @param peer the other entry
     * @param vertx event loops
     * @param client opens the connection
     * @param hello introduces this entry
     * @param up runs on an event loop each time the connection is open
     */
    PeerLink(EntryRegistration peer, Vertx vertx, FrameClient client, Hello hello, Runnable up) {
        mPeer = peer;
        mVertx = vertx;
        mClient = client;
        mHello = hello;
        mUp = up;
    }

    EntryRegistration peer() {
        return mPeer;
    }

    boolean connected() {
        return mConnection != null;
    }

    void connect() {
        if (!mClosed) {
            mClient.connect(mPeer.address(), mHello)
                    .subscribe()
                    .with(this::connected, failure -> retry(failure.getMessage()));
        }
    }

    void close() {
        mClosed = true;
        FrameConnection connection = mConnection;
        if (connection != null) {
            connection.close("the entry is no longer registered");
        }
    }

    boolean send(Message message) {
        FrameConnection connection = mConnection;
        return connection != null && connection.send(message);
    }

    /**
     * Sends a query and waits for its reply.
     *
     * @param message builds the query for an id
     * @param timeout time for the reply
     * @return the reply; empty when none came; fails when nothing could be sent
     */
    Uni<Optional<Message>> call(LongFunction<Message> message, Duration timeout) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            long id = mNextId.incrementAndGet();
                            mCalls.put(id, emitter);
                            if (!send(message.apply(id))) {
                                mCalls.remove(id);
                                emitter.fail(new IllegalStateException("not connected"));
                                return;
                            }
                            mVertx.setTimer(timeout.toMillis(), ignored -> reply(id, null));
                        });
    }

    private void connected(FrameConnection connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        LOG.info("[entry] connected to entry {} at {}", mPeer.id(), mPeer.address());
        mConnection = connection;
        mDelayMillis = FIRST_DELAY_MILLIS;
        connection.closeHandler(this::lost);
        connection.messageHandler(this::received);
        mUp.run();
    }

    private void lost() {
        mConnection = null;
        List.copyOf(mCalls.keySet()).forEach(id -> reply(id, null));
        if (!mClosed) {
            LOG.info("[entry] connection to entry {} lost", mPeer.id());
            retry("connection closed");
        }
    }

    private void retry(String reason) {
        if (mClosed) {
            return;
        }
        LOG.debug("[entry] entry {} not connected: {}", mPeer.id(), reason);
        mVertx.setTimer(mDelayMillis, ignored -> connect());
        mDelayMillis = Math.min(LONGEST_DELAY_MILLIS, 2 * mDelayMillis);
    }

    private void received(Message message) {
        switch (message) {
            case StatusReply reply -> reply(reply.id(), reply);
            case OperatorReply reply -> reply(reply.id(), reply);
            case Goodbye goodbye -> LOG.debug("[entry] entry {}: {}", mPeer.id(), goodbye.reason());
            default ->
                    LOG.warn(
                            "[entry] entry {} sent an unexpected {}",
                            mPeer.id(),
                            message.getClass().getSimpleName());
        }
    }

    private void reply(long id, Message message) {
        UniEmitter<? super Optional<Message>> emitter = mCalls.remove(id);
        if (emitter != null) {
            emitter.complete(Optional.ofNullable(message));
        }
    }
}
