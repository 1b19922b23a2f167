package org.knapweedbank.entry.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameServer;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.LoadReport;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseChunk;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.ResponseHead;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/** Agent that records the frames it receives and passes requests to a handler set by the test. */
public final class FakeAgent {
    /** Load of an idle upstream. */
    public static final LoadReport LOAD = new LoadReport(0, 0, 8, 1_000, false);

    final BlockingQueue<Message> mReceivedMessages = new LinkedBlockingQueue<>();
    private final String mName;
    private final FrameServer mServer;
    private final int mPort;
    private volatile BiConsumer<FrameConnection, Request> mRequestHandler = FakeAgent::echo;

    /**
     * Starts the agent on a free port.
     *
     * @param name identifier of the agent
     * @param vertx Vert.x instance that provides the event loops
     */
    public FakeAgent(String name, Vertx vertx) {
        mName = name;
        mServer =
                new FrameServer(
                        vertx, new DaemonId(name), 1, FrameTimeouts.DEFAULT, new MetricRegistry());
        mPort = mServer.listen("127.0.0.1", 0, this::accept).await().indefinitely();
    }

    /** Returns the number of received frames that the test has not removed from the queue. */
    public int receivedCount() {
        return mReceivedMessages.size();
    }

    void setRequestHandler(BiConsumer<FrameConnection, Request> handler) {
        mRequestHandler = handler;
    }

    /** Returns the record of this agent's upstream for the service {@code echo}. */
    public UpstreamRecord upstreamRecord(boolean leaving, long seq) {
        return new UpstreamRecord(
                new DaemonId(mName),
                1,
                new DataCentreId("dc"),
                "127.0.0.1:" + mPort,
                new UpstreamState("echo", mName + ":80", 8, 64, leaving, false, seq));
    }

    /** Closes the port and all connections. */
    public void close() {
        mServer.close().await().indefinitely();
    }

    private void accept(FrameConnection connection) {
        connection.messageHandler(
                message -> {
                    mReceivedMessages.add(message);
                    if (message instanceof Request request) {
                        mRequestHandler.accept(connection, request);
                    }
                });
    }

    /** Responds with method, path and body of the request. */
    static void echo(FrameConnection connection, Request request) {
        String text = request.method() + " " + request.path() + " ";
        byte[] first = text.getBytes(StandardCharsets.UTF_8);
        connection.send(head(request, false));
        connection.send(new ResponseChunk(request.id(), 0, first));
        connection.send(new ResponseChunk(request.id(), 1, request.body()));
        long bytes = first.length + request.body().length;
        connection.send(new ResponseEnd(request.id(), 2, bytes, LOAD));
    }

    static ResponseHead head(Request request, boolean stream) {
        String type = stream ? "text/event-stream" : "text/plain";
        return new ResponseHead(
                request.id(), 200, List.of(new HeaderField("Content-Type", type)), stream);
    }

    static ResponseChunk chunk(Request request, int index, String text) {
        return new ResponseChunk(request.id(), index, text.getBytes(StandardCharsets.UTF_8));
    }
}
