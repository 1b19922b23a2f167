package org.knapweedbank.wire;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Connection that carries frames. Handlers run on the event loop of the connection; {@link
 * #send(Message)} and the close methods may be called from any thread. A malformed or oversized
 * frame closes the connection.
 */
public final class FrameConnection {
    /** Unsent bytes from which {@link #writable()} is false and producers should pause. */
    public static final int HIGH_WATER_BYTES = 256 * 1024;

    /** Unsent bytes from which messages are rejected; four of the largest frames. */
    public static final int QUEUE_LIMIT_BYTES = 4 * FrameCodec.MAX_FRAME;

    private static final Logger LOG = LogManager.getLogger(FrameConnection.class);

    private final NetSocket mSocket;
    private final Context mContext;
    private final FrameCodec mCodec;
    private final TrafficCounters mCounters;
    private final RecordParser mParser;
    private final AtomicLong mUnsent = new AtomicLong();
    private final Deque<Message> mEarly = new ArrayDeque<>();
    private volatile int mVersion = FrameCodec.HANDSHAKE_VERSION;
    private volatile boolean mOpen = true;
    private volatile Hello mHello;
    private volatile Welcome mWelcome;
    private Consumer<Message> mMessageHandler;
    private Runnable mCloseHandler;
    private Runnable mDrainHandler;
    private boolean mLengthNext = true;

    FrameConnection(NetSocket socket, FrameCodec codec, TrafficCounters counters) {
        mSocket = socket;
        mContext = Vertx.currentContext();
        mCodec = codec;
        mCounters = counters;
        mParser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES);
        mParser.handler(this::onRecord);
        socket.handler(this::onBytes);
        socket.exceptionHandler(e -> LOG.debug("[wire] connection {} failed", remote(), e));
        socket.closeHandler(ignored -> onClosed());
    }

    /**
     * Sends a message.
     *
     * @param message the message
     * @return false if the connection is closed, the message exceeds the frame limit, or the write
     *     queue is full; the last case is counted
     */
    public boolean send(Message message) {
        if (!mOpen) {
            return false;
        }
        Buffer frame;
        try {
            frame = mCodec.encode(message, mVersion);
        } catch (FrameException e) {
            LOG.warn("[wire] message to {} not sent: {}", remote(), e.getMessage());
            return false;
        }
        int length = frame.length();
        long unsent = mUnsent.getAndUpdate(u -> fits(u, length) ? u + length : u);
        if (!fits(unsent, length)) {
            mCounters.countRejected();
            LOG.warn("[wire] write queue to {} is full; message rejected", remote());
            return false;
        }
        mCounters.countSent(message, length);
        mSocket.write(frame).onComplete(ignored -> onSent(length));
        return true;
    }

    /**
     * Tells whether a producer of large amounts may go on. A producer that sees false pauses until
     * the drain handler runs. Bytes on their way to the event loop count as well, so that a
     * producer on another thread pauses before its messages are rejected.
     *
     * @return true if less than {@link #HIGH_WATER_BYTES} wait to be sent
     */
    public boolean writable() {
        return mUnsent.get() < HIGH_WATER_BYTES;
    }

    /**
     * Sets the receiver of the messages. Messages that arrived earlier are passed on first.
     *
     * @param handler runs on the event loop for each message, in order
     */
    public void messageHandler(Consumer<Message> handler) {
        onContext(
                () -> {
                    mMessageHandler = handler;
                    while (mOpen && !mEarly.isEmpty()) {
                        handler.accept(mEarly.poll());
                    }
                    mSocket.resume();
                });
    }

    /**
     * Sets what runs once when the connection has closed; at once if it has closed already.
     *
     * @param handler runs on the event loop
     */
    public void closeHandler(Runnable handler) {
        onContext(
                () -> {
                    mCloseHandler = handler;
                    if (!mOpen) {
                        handler.run();
                    }
                });
    }

    /**
     * Sets what runs each time the write queue has drained after it was full.
     *
     * @param handler runs on the event loop
     */
    public void drainHandler(Runnable handler) {
        onContext(() -> mDrainHandler = handler);
    }

    /** Stops reading, so that the peer's writes are held back; a few messages may still arrive. */
    public void pause() {
        mSocket.pause();
    }

    /** Reads on after {@link #pause()}. */
    public void resume() {
        mSocket.resume();
    }

    /**
     * The peer's {@code Hello}; present on the accepting side.
     *
     * @return the message, or null on the side that opened the connection
     */
    public Hello hello() {
        return mHello;
    }

    /**
     * The peer's {@code Welcome}; present on the side that opened the connection.
     *
     * @return the message, or null on the accepting side
     */
    public Welcome welcome() {
        return mWelcome;
    }

    /**
     * Address of the peer.
     *
     * @return HOST:PORT
     */
    public String remote() {
        return String.valueOf(mSocket.remoteAddress());
    }

    /**
     * Tells whether the connection is open.
     *
     * @return false once it has closed or is being closed
     */
    public boolean isOpen() {
        return mOpen;
    }

    /** Closes the connection. */
    public void close() {
        mSocket.close();
    }

    /**
     * Sends a {@code Goodbye} and closes the connection.
     *
     * @param reason short reason for the peer's log
     */
    public void close(String reason) {
        send(new Goodbye(reason));
        mSocket.end();
    }

    void negotiated(Hello hello, Welcome welcome, int version) {
        mHello = hello;
        mWelcome = welcome;
        mVersion = version;
        mMessageHandler = null;
        mCloseHandler = null;
        mSocket.pause();
    }

    void handshakeHandlers(Consumer<Message> messages, Runnable closed) {
        mMessageHandler = messages;
        mCloseHandler = closed;
    }

    void onContext(Runnable action) {
        if (Vertx.currentContext() == mContext) {
            action.run();
        } else {
            mContext.runOnContext(ignored -> action.run());
        }
    }

    private void onBytes(Buffer bytes) {
        if (mOpen) {
            mParser.handle(bytes);
        }
    }

    private void onRecord(Buffer record) {
        if (!mOpen) {
            return;
        }
        try {
            if (mLengthNext) {
                mParser.fixedSizeMode(FrameCodec.checkLength(record.getInt(0)));
                mLengthNext = false;
            } else {
                mParser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
                mLengthNext = true;
                onFrame(record.getBytes());
            }
        } catch (FrameException e) {
            mCounters.countMalformed();
            LOG.warn("[wire] connection {} closed: {}", remote(), e.getMessage());
            mOpen = false;
            mSocket.close();
        }
    }

    private void onFrame(byte[] body) throws FrameException {
        Message message = mCodec.decode(body, mVersion);
        mCounters.countReceived(message, FrameCodec.LENGTH_BYTES + body.length);
        if (mMessageHandler == null) {
            mEarly.add(message);
        } else {
            mMessageHandler.accept(message);
        }
    }

    private static boolean fits(long unsent, int length) {
        return unsent + length <= QUEUE_LIMIT_BYTES;
    }

    private void onSent(int length) {
        long left = mUnsent.addAndGet(-length);
        boolean drained = left < HIGH_WATER_BYTES && left + length >= HIGH_WATER_BYTES;
        if (drained && mDrainHandler != null) {
            mDrainHandler.run();
        }
    }

    private void onClosed() {
        mOpen = false;
        mEarly.clear();
        if (mCloseHandler != null) {
            mCloseHandler.run();
        }
    }
}
