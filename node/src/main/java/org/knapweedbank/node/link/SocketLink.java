package org.knapweedbank.node.link;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import org.knapweedbank.jobs.DecisionLog;

/**
 * Link over one TCP connection. Each frame starts with a length field of four bytes; an empty frame
 * is a keep-alive. A link that receives no data for {@link #MAX_SILENCE_MILLIS} is closed, because
 * a connection can be lost without a reset.
 */
final class SocketLink implements Link {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 4 << 20;

    /** Size of the send queue above which the link is closed. */
    private static final int MAX_QUEUED_BYTES = 8 << 20;

    /** Time without a sent frame after which an empty frame is sent. */
    private static final long KEEP_ALIVE_MILLIS = 500;

    /**
     * Time without received data after which a link is closed. It is shorter than the election of a
     * new owner, so that agents look for the new owner as soon as it exists, and long enough to
     * tolerate several lost packets.
     */
    private static final long MAX_SILENCE_MILLIS = 1_500;

    private final Vertx mVertx;
    private final NetSocket mSocket;
    private final DecisionLog mLog;
    private final String mRemoteAddress;
    private LinkListener mListener;
    private boolean mClosed;
    private long mSentAtMillis;

    /** Messages that wait to be written together; null if there are none. */
    private Buffer mUnsent;

    private boolean mFlushScheduled;

    private long mReceivedAtMillis;

    SocketLink(Vertx vertx, NetSocket socket, DecisionLog log) {
        mVertx = vertx;
        mSocket = socket;
        mLog = log;
        mRemoteAddress = String.valueOf(socket.remoteAddress());
    }

    /** Starts to read frames and to check the connection. */
    void open(LinkListener listener) {
        mListener = listener;
        mSentAtMillis = monotonicMillis();
        mReceivedAtMillis = mSentAtMillis;
        RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
        boolean[] inBody = new boolean[1];
        parser.handler(
                buffer -> {
                    if (inBody[0]) {
                        inBody[0] = false;
                        parser.fixedSizeMode(LENGTH_BYTES);
                        decodeAndDeliver(buffer.getBytes());
                        return;
                    }
                    int length = buffer.getInt(0);
                    if (length < 0 || length > MAX_FRAME_BYTES) {
                        close("frame length out of range: " + length);
                    } else if (length > 0) {
                        inBody[0] = true;
                        parser.fixedSizeMode(length);
                    }
                });
        mSocket.handler(
                buffer -> {
                    mReceivedAtMillis = monotonicMillis();
                    parser.handle(buffer);
                });
        mSocket.exceptionHandler(e -> markClosed(String.valueOf(e.getMessage())));
        mSocket.closeHandler(ignored -> markClosed("closed by the peer"));
    }

    /** Sends a message together with the others that are sent in the current callback. */
    @Override
    public void send(NodeMessage message) {
        sendLater(message);
        if (!mFlushScheduled && mUnsent != null) {
            mFlushScheduled = true;
            mVertx.runOnContext(ignored -> flush());
        }
    }

    @Override
    public void sendLater(NodeMessage message) {
        if (mClosed) {
            return;
        }
        byte[] body = NodeCodec.encode(message);
        if (mUnsent == null) {
            mUnsent = Buffer.buffer(LENGTH_BYTES + body.length);
        }
        mUnsent.appendInt(body.length).appendBytes(body);
    }

    /** Writes the messages that were sent since the last write with one system call. */
    private void flush() {
        Buffer unsent = mUnsent;
        mUnsent = null;
        mFlushScheduled = false;
        if (!mClosed && unsent != null) {
            mSentAtMillis = monotonicMillis();
            mSocket.write(unsent);
        }
    }

    @Override
    public void close(String reason) {
        if (!mClosed) {
            flush();
            mSocket.close();
            markClosed(reason);
        }
    }

    @Override
    public String remoteAddress() {
        return mRemoteAddress;
    }

    private void decodeAndDeliver(byte[] body) {
        if (mClosed) {
            return;
        }
        try {
            deliver(NodeCodec.decode(body));
        } catch (IOException e) {
            mLog.record("link.malformed", mRemoteAddress, "cause", e.getMessage());
            close("malformed message");
        }
    }

    /**
     * Passes a message to the listener. If that fails, the link is closed, because the next link
     * starts with a full report, which restores a common state.
     */
    private void deliver(NodeMessage message) {
        try {
            mListener.received(message);
        } catch (RuntimeException e) {
            String type = message.getClass().getSimpleName();
            mLog.record("link.listener_failed", mRemoteAddress, "message", type, "cause", e);
            close("the listener failed on a message");
        }
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Writes waiting messages, sends a keep-alive if one is due and closes a silent link. */
    void checkLiveness() {
        flush();
        long nowMillis = monotonicMillis();
        if (nowMillis - mReceivedAtMillis > MAX_SILENCE_MILLIS) {
            close("silent for " + (nowMillis - mReceivedAtMillis) + " ms");
        } else if (nowMillis - mSentAtMillis >= KEEP_ALIVE_MILLIS) {
            mSentAtMillis = nowMillis;
            mSocket.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
            if (mSocket.writeQueueFull()) {
                close("the peer does not read: the send queue is full");
                return;
            }
            mSocket.write(Buffer.buffer(LENGTH_BYTES).appendInt(0));
        }
    }

    private void markClosed(String reason) {
        if (!mClosed) {
            mClosed = true;
            mListener.closed(reason);
        }
    }

    private static long monotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
