package org.knapweedbank.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.CompositeException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

class FrameConnectionTest {
    private static final Hello HELLO =
            new Hello(DaemonRole.AGENT, new DaemonId("agent-1"), 3, new DataCentreId("a"), 1, 1);
    private static final FrameTimeouts SHORT_HANDSHAKE =
            new FrameTimeouts(Duration.ofSeconds(2), Duration.ofMillis(50));

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final BlockingQueue<FrameConnection> mAccepted = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> mReceived = new LinkedBlockingQueue<>();
    private Vertx mVertx;

    @BeforeEach
    void startVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterEach
    void closeVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Fails if messages are lost that arrive after the handshake but before the handler is set. */
    @Test
    void deliversMessagesInOrderAfterHandshake() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameConnection client =
                client().connect("127.0.0.1:" + port, HELLO).await().indefinitely();
        FrameConnection server = take(mAccepted);
        assertThat(server.hello()).isEqualTo(HELLO);
        assertThat(client.welcome().daemon()).isEqualTo(new DaemonId("entry-1"));
        for (long id = 0; id < 100; id++) {
            assertThat(client.send(new Cancel(id))).isTrue();
        }
        server.messageHandler(mReceived::add);
        for (long id = 0; id < 100; id++) {
            assertThat(take(mReceived)).isEqualTo(new Cancel(id));
        }
        TrafficCounters counters = new TrafficCounters(mRegistry);
        assertThat(counters.bytes(TrafficClass.DATA)).isGreaterThan(0L);
        assertThat(counters.bytes(TrafficClass.CONTROL)).isGreaterThan(0L);
    }

    /** Fails if an invalid frame on one connection affects another connection. */
    @Test
    void invalidFrameClosesOnlyItsConnection() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameConnection otherClient =
                client().connect("127.0.0.1:" + port, HELLO).await().indefinitely();
        take(mAccepted).messageHandler(mReceived::add);
        for (Buffer invalidFrame :
                List.of(
                        Buffer.buffer("GET / HTTP/1.1\r\n"),
                        oversizedFrame(),
                        frameOfUnknownType())) {
            NetSocket socket = openSocket(port);
            CompletableFuture<Void> closed = new CompletableFuture<>();
            socket.closeHandler(ignored -> closed.complete(null));
            socket.write(invalidFrame);
            closed.get(10, TimeUnit.SECONDS);
        }
        assertThat(new TrafficCounters(mRegistry).malformed()).isEqualTo(3);
        assertThat(otherClient.send(new Cancel(1))).isTrue();
        assertThat(take(mReceived)).isEqualTo(new Cancel(1));
    }

    /** Fails if a peer without a common protocol version is accepted. */
    @Test
    void refusesPeerWithoutCommonVersion() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        Hello newer = new Hello(DaemonRole.AGENT, HELLO.daemon(), 3, HELLO.dataCentre(), 2, 4);
        FrameException e = connectFailure(port, newer, FrameTimeouts.DEFAULT);
        assertThat(e.kind()).isEqualTo(FrameException.Kind.HANDSHAKE);
        assertThat(e).hasMessageThat().contains("no common protocol version");
        assertThat(mAccepted).isEmpty();
    }

    /** Fails if a connection stays open although the peer never sends a message. */
    @Test
    void closesConnectionOnHandshakeTimeout() throws Exception {
        int port = listen(SHORT_HANDSHAKE);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        openSocket(port).closeHandler(ignored -> closed.complete(null));
        closed.get(10, TimeUnit.SECONDS);
        assertThat(mAccepted).isEmpty();
    }

    /** Fails if a client waits forever for a server that accepts but never sends a message. */
    @Test
    void connectFailsOnHandshakeTimeout() throws Exception {
        int port =
                mVertx.createNetServer()
                        .connectHandler(socket -> {})
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join()
                        .actualPort();
        FrameException e = connectFailure(port, HELLO, SHORT_HANDSHAKE);
        assertThat(e.kind()).isEqualTo(FrameException.Kind.HANDSHAKE);
    }

    /** Fails if an unreachable peer is reported as anything other than a connect failure. */
    @Test
    void reportsRefusedConnectionAsConnectFailure() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameServer closedServer = server(FrameTimeouts.DEFAULT);
        int closedPort =
                closedServer.listen("127.0.0.1", 0, connection -> {}).await().indefinitely();
        closedServer.close().await().indefinitely();
        assertThat(connectFailure(closedPort, HELLO, FrameTimeouts.DEFAULT).kind())
                .isEqualTo(FrameException.Kind.CONNECT);
        assertThat(port).isNotEqualTo(closedPort);
    }

    /**
     * Fails if the write queue grows without limit when the peer does not read. The test sends on
     * the event loop, so that the queue cannot drain between the rejection and the assertions.
     */
    @Test
    void rejectsWhenWriteQueueIsFull() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameConnection client =
                client().connect("127.0.0.1:" + port, HELLO).await().indefinitely();
        take(mAccepted).pause();
        List<Boolean> sent = new ArrayList<>();
        CompletableFuture<Boolean> writable = new CompletableFuture<>();
        runOnEventLoopOf(
                client,
                () -> {
                    sendUntilRejected(client, sent);
                    writable.complete(client.isWritable());
                });
        assertThat(writable.get(10, TimeUnit.SECONDS)).isFalse();
        assertThat(sent).contains(false);
        assertThat(new TrafficCounters(mRegistry).rejected()).isEqualTo(1);
        assertThat(client.isOpen()).isTrue();
    }

    /**
     * Fails if the connection is reported as writable to a producer on another thread while its
     * messages still wait for the event loop, or if the drain handler is not called after they have
     * been sent.
     */
    @Test
    void writableCountsMessagesThatWaitForEventLoop() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameConnection client =
                client().connect("127.0.0.1:" + port, HELLO).await().indefinitely();
        take(mAccepted).messageHandler(ignored -> {});
        CompletableFuture<Void> drained = new CompletableFuture<>();
        client.drainHandler(() -> drained.complete(null));
        CountDownLatch eventLoopReleased = new CountDownLatch(1);
        runOnEventLoopOf(client, eventLoopReleased::await);
        List<Boolean> sent = new ArrayList<>();
        sendUntilRejected(client, sent);
        boolean writable = client.isWritable();
        eventLoopReleased.countDown();
        assertThat(sent).contains(false);
        assertThat(writable).isFalse();
        drained.get(10, TimeUnit.SECONDS);
        assertThat(client.isWritable()).isTrue();
    }

    /** Sends large messages until one is rejected. */
    private static void sendUntilRejected(FrameConnection client, List<Boolean> sent) {
        ResponseChunk chunk = new ResponseChunk(1, 0, new byte[512 * 1024]);
        while (sent.size() < 1000 && !sent.contains(false)) {
            sent.add(client.send(chunk));
        }
    }

    /** Runs an action on the event loop of a connection. */
    private static void runOnEventLoopOf(FrameConnection client, BlockingAction action) {
        client.runOnEventLoop(
                () -> {
                    try {
                        action.run();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Action that may block. */
    private interface BlockingAction {
        void run() throws InterruptedException;
    }

    /** Fails if the peer does not notice that the connection was closed, or loses the reason. */
    @Test
    void goodbyeArrivesBeforeClose() throws Exception {
        int port = listen(FrameTimeouts.DEFAULT);
        FrameConnection client =
                client().connect("127.0.0.1:" + port, HELLO).await().indefinitely();
        FrameConnection server = take(mAccepted);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        server.messageHandler(mReceived::add);
        server.closeHandler(() -> closed.complete(null));
        client.close("done");
        assertThat(take(mReceived)).isEqualTo(new Goodbye("done"));
        closed.get(10, TimeUnit.SECONDS);
        assertThat(server.send(new Cancel(1))).isFalse();
    }

    private FrameException connectFailure(int port, Hello hello, FrameTimeouts timeouts) {
        FrameClient client = new FrameClient(mVertx, timeouts, mRegistry);
        Exception e =
                assertThrows(
                        CompletionException.class,
                        () -> client.connect("127.0.0.1", port, hello).await().indefinitely());
        assertThat(e).isNotInstanceOf(CompositeException.class);
        return (FrameException) e.getCause();
    }

    private int listen(FrameTimeouts timeouts) {
        return server(timeouts).listen("127.0.0.1", 0, mAccepted::add).await().indefinitely();
    }

    private FrameServer server(FrameTimeouts timeouts) {
        return new FrameServer(mVertx, new DaemonId("entry-1"), 8, timeouts, mRegistry);
    }

    private FrameClient client() {
        return new FrameClient(mVertx, FrameTimeouts.DEFAULT, mRegistry);
    }

    private NetSocket openSocket(int port) {
        return mVertx.createNetClient()
                .connect(port, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private static Buffer oversizedFrame() {
        return Buffer.buffer().appendInt(FrameCodec.MAX_FRAME_BYTES).appendByte((byte) 1);
    }

    private static Buffer frameOfUnknownType() {
        return Buffer.buffer().appendInt(3).appendBytes(new byte[] {1, (byte) 0xee, (byte) 0x90});
    }

    private static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
        T value = queue.poll(10, TimeUnit.SECONDS);
        assertThat(value).isNotNull();
        return value;
    }
}
