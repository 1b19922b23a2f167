package org.knapweedbank.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Loopback proxy in front of a stand-in. It delays, resets or silences connections, each one
 * independently of the others, so that answers overtake each other. Bytes that it has taken are
 * delivered late even if the sender has closed the connection meanwhile.
 */
final class Proxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 65_536;
    private static final int BACKLOG = 200;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;
    private final UniformRandomProvider mRandom;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile ProxyDelays mDelays = ProxyDelays.NONE;

    Proxy(String host, int port, InetSocketAddress target, long seed) throws IOException {
        mTarget = target;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mListener = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    void setDelays(ProxyDelays delays) {
        mDelays = delays;
    }

    /** Resets a share of the open connections. */
    void reset(double share) {
        mConnections.stream().filter(c -> draw() < share).forEach(Connection::reset);
    }

    /** Stops delivering on a share of the open connections, for good and without closing them. */
    void silence(double share) {
        mConnections.stream().filter(c -> draw() < share).forEach(c -> c.mSilent = true);
    }

    @Override
    public void close() {
        closeQuietly(mListener);
        mConnections.forEach(Connection::close);
    }

    private synchronized double draw() {
        return mRandom.nextDouble();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = mListener.accept();
                Thread.ofVirtual().start(() -> open(client));
            }
        } catch (IOException e) {
            // The listener is closed at the end of the deployment.
        }
    }

    private void open(Socket client) {
        Socket server = new Socket();
        try {
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            closeQuietly(client);
            closeQuietly(server);
            return;
        }
        Connection connection = new Connection(client, server);
        mConnections.add(connection);
        Thread.ofVirtual().start(() -> connection.copy(client, server, true));
        Thread.ofVirtual().start(() -> connection.copy(server, client, false));
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // It is of no more use in any case.
        }
    }

    /** A pair of sockets. */
    private final class Connection {
        private final Socket mClient;
        private final Socket mServer;
        private volatile boolean mSilent;

        Connection(Socket client, Socket server) {
            mClient = client;
            mServer = server;
        }

        /** Copies one direction until its source is closed. */
        void copy(Socket from, Socket to, boolean isRequest) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int count = from.getInputStream().read(buffer);
                while (count >= 0) {
                    TimeUnit.MILLISECONDS.sleep(mDelays.draw(isRequest, Proxy.this::draw));
                    if (!mSilent) {
                        deliver(to, buffer, count, isRequest);
                    }
                    count = from.getInputStream().read(buffer);
                }
            } catch (IOException e) {
                // One side is gone, so the other one is closed, too.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (!isRequest && mDelays.requestsOutliveServer()) {
                closeServer();
            } else {
                close();
            }
        }

        /**
         * Closes the connection to the server, and towards the client only the direction of the
         * answers: a request that the client has sent may not have been read yet, and closing its
         * socket would discard it.
         */
        private void closeServer() {
            closeQuietly(mServer);
            closeQuietly(mClient::shutdownOutput);
        }

        private void deliver(Socket to, byte[] buffer, int count, boolean isRequest)
                throws IOException {
            try {
                to.getOutputStream().write(buffer, 0, count);
            } catch (IOException e) {
                if (!isRequest || !mDelays.requestsOutliveServer()) {
                    throw e;
                }
                try (Socket next = new Socket()) {
                    next.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
                    next.getOutputStream().write(buffer, 0, count);
                    // The server carries the request out before it answers; nobody reads the
                    // answer.
                    next.getInputStream().read();
                }
            }
        }

        void reset() {
            try {
                mClient.setSoLinger(true, 0);
                mServer.setSoLinger(true, 0);
            } catch (IOException e) {
                // The connection is closed already.
            }
            close();
        }

        void close() {
            mConnections.remove(this);
            closeQuietly(mClient);
            closeQuietly(mServer);
        }
    }
}
