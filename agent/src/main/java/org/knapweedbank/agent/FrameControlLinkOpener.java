package org.knapweedbank.agent;

import java.util.function.Supplier;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;

/** Opens control connections over TCP and delivers their events on the control thread. */
final class FrameControlLinkOpener implements ControlLinkOpener {
    private final FrameClient mClient;
    private final Supplier<Hello> mHello;
    private final DutyExecutor mExecutor;

    private record Link(FrameConnection connection) implements ControlLink {
        @Override
        public boolean send(Message message) {
            return connection.send(message);
        }

        @Override
        public void close(String reason) {
            connection.close(reason);
        }
    }

    FrameControlLinkOpener(FrameClient client, Supplier<Hello> hello, DutyExecutor executor) {
        mClient = client;
        mHello = hello;
        mExecutor = executor;
    }

    @Override
    public void open(String address, ControlLinkListener listener) {
        mClient.connect(address, mHello.get())
                .subscribe()
                .with(
                        connection -> connected(connection, listener),
                        e -> mExecutor.execute(() -> listener.failed(e.getMessage())));
    }

    private void connected(FrameConnection connection, ControlLinkListener listener) {
        deliver(connection, () -> listener.opened(new Link(connection)));
        connection.messageHandler(m -> deliver(connection, () -> listener.message(m)));
        connection.closeHandler(() -> mExecutor.execute(listener::closed));
    }

    /**
     * Delivers an event on the control thread. An event must not be skipped, so the connection is
     * closed if the event queue is full.
     */
    private void deliver(FrameConnection connection, Runnable event) {
        if (!mExecutor.execute(event)) {
            connection.close("agent is overloaded");
        }
    }
}
