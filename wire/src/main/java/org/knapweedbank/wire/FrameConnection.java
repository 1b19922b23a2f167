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
 * Connection that sends and receives messages as frames. Handlers run on the event loop of the
 * connection. {@link #send(Message)} and the close methods may be called from any thread. The
 * connection is closed when it receives a malformed or oversized frame.
 */
public final class FrameConnection {
    /**
     * High watermark of the write queue: with this number of unsent bytes or more, {@link
     * #isWritable()} returns false and producers should pause.
     */
    public static final int HIGH_WATERMARK_BYTES = 256 * 1024;

    /** Capacity of the write queue: four frames of maximum size. Excess messages are rejected. */
    public static final int MAX_UNSENT_BYTES = 4 * FrameCodec.MAX_FRAME_BYTES;

    private static final Logger LOG = LogManager.getLogger(FrameConnection.class);

    private final NetSocket mSocket;
    private final Context mContext;
    private final FrameCodec mCodec;
    private final TrafficCounters mCounters;
    private final RecordParser mParser;
    private final AtomicLong mUnsentBytes = new AtomicLong();

    /** Messages that have arrived before the message handler was set. */
    private final Deque<Message> mUndeliveredMessages = new ArrayDeque<>();

    private volatile int mVersion = FrameCodec.HANDSHAKE_VERSION;
    private volatile boolean mOpen = true;
    private volatile Hello mHello;
    private volatile Welcome mWelcome;
    private Consumer<Message> mMessageHandler;
    private Runnable mCloseHandler;
    private Runnable mDrainHandler;

    /** True if the parser's next record is a length field, false if it is the rest of a frame. */
    private boolean mExpectsLength = true;

    FrameConnection(NetSocket socket, FrameCodec codec, TrafficCounters counters) {
        mSocket = socket;
        mContext = Vertx.currentContext();
        mCodec = codec;
        mCounters = counters;
        mParser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES);
        mParser.handler(this::onRecord);
        socket.handler(this::onBytes);
        socket.exceptionHandler(e -> LOG.debug("[wire] connection {} failed", remoteAddress(), e));
        socket.closeHandler(ignored -> onClosed());
    }

    /**
     * Sends a message.
     *
     * @param message the message
     * @return false if the connection is closed, the message exceeds the maximum frame size, or the
     *     write queue is full; messages rejected by a full queue are counted
     */
    public boolean send(Message message) {
        if (!mOpen) {
            return false;
        }
        Buffer frame;
        try {
            frame = mCodec.encode(message, mVersion);
        } catch (FrameException e) {
            LOG.warn("[wire] could not send a message to {}: {}", remoteAddress(), e.getMessage());
            return false;
        }
        int length = frame.length();
        long unsentBytes =
                mUnsentBytes.getAndUpdate(
                        bytes -> fitsWriteQueue(bytes, length) ? bytes + length : bytes);
        if (!fitsWriteQueue(unsentBytes, length)) {
            mCounters.countRejected();
            LOG.warn("[wire] rejected a message to {}: the write queue is full", remoteAddress());
            return false;
        }
        mCounters.countSent(message, length);
        mSocket.write(frame).onComplete(ignored -> onSent(length));
        return true;
    }

    /**
     * Returns whether the write queue is below its high watermark. If not, a producer of many
     * messages should pause until the drain handler runs. Messages that still wait for the event
     * loop count as well, so that a producer on another thread pauses before its messages are
     * rejected.
     *
     * @return true if fewer than {@link #HIGH_WATERMARK_BYTES} bytes wait to be sent
     */
    public boolean isWritable() {
        return mUnsentBytes.get() < HIGH_WATERMARK_BYTES;
    }

    /**
     * Sets the message handler and resumes reading. Messages that arrived before are delivered to
     * the handler first.
     *
     * @param handler called on the event loop for each message, in order
     */
    public void messageHandler(Consumer<Message> handler) {
        runOnEventLoop(
                () -> {
                    mMessageHandler = handler;
                    while (mOpen && !mUndeliveredMessages.isEmpty()) {
                        handler.accept(mUndeliveredMessages.poll());
                    }
                    mSocket.resume();
                });
    }

    /**
     * Sets the close handler, which is called when the connection has been closed, or immediately
     * if it is closed already.
     *
     * @param handler called on the event loop
     */
    public void closeHandler(Runnable handler) {
        runOnEventLoop(
                () -> {
                    mCloseHandler = handler;
                    if (!mOpen) {
                        handler.run();
                    }
                });
    }

    /**
     * Sets the drain handler, which is called each time the write queue falls below its high
     * watermark.
     *
     * @param handler called on the event loop
     */
    public void drainHandler(Runnable handler) {
        runOnEventLoop(() -> mDrainHandler = handler);
    }

    /**
     * Stops reading from the socket, which applies backpressure to the peer. Messages that have
     * already been read may still be delivered.
     */
    public void pause() {
        mSocket.pause();
    }

    /** Resumes reading after {@link #pause()}. */
    public void resume() {
        mSocket.resume();
    }

    /**
     * Returns the {@link Hello} with which the peer opened the connection.
     *
     * @return the message, or null if this side opened the connection
     */
    public Hello hello() {
        return mHello;
    }

    /**
     * Returns the {@link Welcome} with which the peer accepted the connection.
     *
     * @return the message, or null if this side accepted the connection
     */
    public Welcome welcome() {
        return mWelcome;
    }

    /**
     * Returns the address of the peer.
     *
     * @return HOST:PORT of the peer
     */
    public String remoteAddress() {
        return String.valueOf(mSocket.remoteAddress());
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false if the connection has been closed, or is being closed after an invalid frame
     */
    public boolean isOpen() {
        return mOpen;
    }

    /** Closes the connection. */
    public void close() {
        mSocket.close();
    }

    /**
     * Sends a {@link Goodbye} and closes the connection after it.
     *
     * @param reason short reason that the peer can log
     */
    public void close(String reason) {
        send(new Goodbye(reason));
        mSocket.end();
    }

    void completeHandshake(Hello hello, Welcome welcome, int version) {
        mHello = hello;
        mWelcome = welcome;
        mVersion = version;
        mMessageHandler = null;
        mCloseHandler = null;
        mSocket.pause();
    }

    void setHandshakeHandlers(Consumer<Message> messageHandler, Runnable closeHandler) {
        mMessageHandler = messageHandler;
        mCloseHandler = closeHandler;
    }

    void runOnEventLoop(Runnable action) {
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
            if (mExpectsLength) {
                mParser.fixedSizeMode(FrameCodec.checkLength(record.getInt(0)));
                mExpectsLength = false;
            } else {
                mParser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
                mExpectsLength = true;
                onFrame(record.getBytes());
            }
        } catch (FrameException e) {
            mCounters.countMalformed();
            LOG.warn(
                    "[wire] closing connection {} after an invalid frame: {}",
                    remoteAddress(),
                    e.getMessage());
            mOpen = false;
            mSocket.close();
        }
    }

    private void onFrame(byte[] body) throws FrameException {
        Message message = mCodec.decode(body, mVersion);
        mCounters.countReceived(message, FrameCodec.LENGTH_BYTES + body.length);
        if (mMessageHandler == null) {
            mUndeliveredMessages.add(message);
        } else {
            mMessageHandler.accept(message);
        }
    }

    private static boolean fitsWriteQueue(long unsentBytes, int length) {
        return unsentBytes + length <= MAX_UNSENT_BYTES;
    }

    private void onSent(int length) {
        long remainingBytes = mUnsentBytes.addAndGet(-length);
        boolean drained =
                remainingBytes < HIGH_WATERMARK_BYTES
                        && remainingBytes + length >= HIGH_WATERMARK_BYTES;
        if (drained && mDrainHandler != null) {
            mDrainHandler.run();
        }
    }

    private void onClosed() {
        mOpen = false;
        mUndeliveredMessages.clear();
        if (mCloseHandler != null) {
            mCloseHandler.run();
        }
    }
}
