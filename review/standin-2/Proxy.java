import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/** Passes the bytes of TCP channels on to one address; resets or silences channels when told to. */
final class Proxy {
    private final InetSocketAddress target;

    /** While true, a channel is reset, at both ends, in place of passing an answer on. */
    volatile boolean resetsAnswers;

    /** Sockets of the callers of all open channels. */
    private final Set<Socket> open = new HashSet<>();

    /** Those of them that pass nothing on any more. */
    private final Set<Socket> silent = new HashSet<>();

    Proxy(String host, int port, String targetHost, int targetPort) throws IOException {
        target = new InetSocketAddress(targetHost, targetPort);
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName(host));
        Thread.ofPlatform().daemon().start(() -> acceptAll(server));
    }

    /** All open channels go silent for good, without a reset; new ones work. Returns their number. */
    synchronized int silenceOpenChannels() {
        silent.addAll(open);
        return open.size();
    }

    private synchronized boolean isSilent(Socket caller) {
        return silent.contains(caller);
    }

    private void acceptAll(ServerSocket server) {
        while (true) {
            try {
                Socket caller = server.accept();
                Socket callee = new Socket();
                callee.connect(target, 1_000);
                caller.setTcpNoDelay(true);
                callee.setTcpNoDelay(true);
                synchronized (this) {
                    open.add(caller);
                }
                Thread.ofPlatform().daemon().start(() -> pass(caller, caller, callee, false));
                Thread.ofPlatform().daemon().start(() -> pass(caller, callee, caller, true));
            } catch (IOException e) {
                // The callee can't be reached; the caller tries again.
            }
        }
    }

    private void pass(Socket caller, Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[8_192];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (answers && resetsAnswers) {
                    from.setSoLinger(true, 0);
                    to.setSoLinger(true, 0);
                    return;
                }
                if (!isSilent(caller)) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // One end has closed the channel; both are closed now.
        } finally {
            synchronized (this) {
                open.remove(caller);
            }
        }
    }
}
