package org.knapweedbank.soak;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a proxy whose late requests are lost, so that no order ever comes late. */
@Timeout(60)
final class ProxyTest {
    private static final long SEED = 1;

    /** The seed draws a third of it, time enough for the first server to go before. */
    private static final long DELAY_MILLIS = 4_000;

    /** JUnit's timeout interrupts the thread, which does not end a wait for a connection. */
    private static final int ACCEPT_TIMEOUT_MILLIS = 30_000;

    private static final byte[] REQUEST = "order".getBytes(StandardCharsets.UTF_8);

    private ServerSocket mServer;
    private Proxy mProxy;

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
        mProxy =
                new Proxy(
                        "127.0.0.1",
                        0,
                        new InetSocketAddress("127.0.0.1", mServer.getLocalPort()),
                        SEED);
    }

    @AfterEach
    void stop() throws IOException {
        mProxy.close();
        mServer.close();
    }

    @Test
    void delayedRequestArrivesAfterItsSenderHasClosed() throws IOException {
        mProxy.setDelays(new ProxyDelays(1, DELAY_MILLIS, 0, false));
        send();
        try (Socket accepted = mServer.accept()) {
            assertThat(accepted.getInputStream().readNBytes(REQUEST.length)).isEqualTo(REQUEST);
        }
    }

    @Test
    void delayedRequestReachesTheNextServer() throws IOException {
        mProxy.setDelays(new ProxyDelays(1, DELAY_MILLIS, 0, true));
        send();
        mServer.accept().close();
        try (Socket accepted = mServer.accept()) {
            assertThat(accepted.getInputStream().readNBytes(REQUEST.length)).isEqualTo(REQUEST);
        }
    }

    /**
     * Guards against a request that is lost because the proxy learns of the end of the server
     * before it has read the request.
     */
    @Test
    void requestReadAfterTheEndOfTheServerReachesTheNextServer() throws IOException {
        mProxy.setDelays(new ProxyDelays(1, DELAY_MILLIS, 0, true));
        try (Socket client = new Socket("127.0.0.1", mProxy.port())) {
            mServer.accept().close();
            assertThat(client.getInputStream().read()).isEqualTo(-1);
            client.getOutputStream().write(REQUEST);
            try (Socket accepted = mServer.accept()) {
                assertThat(accepted.getInputStream().readNBytes(REQUEST.length)).isEqualTo(REQUEST);
            }
        }
    }

    private void send() throws IOException {
        try (Socket client = new Socket("127.0.0.1", mProxy.port())) {
            client.getOutputStream().write(REQUEST);
        }
    }
}
