package org.knapweedbank.agent;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.routing.duplicate.DuplicateLimits;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.UpstreamState;

/** Gives the fault matrix access to the package-private request duty of an agent. */
public final class RequestTestDriver {
    private final AnnouncementTable mTable;
    private final RequestDuty mDuty;

    /** Receives the parts of an upstream's answer. */
    public interface Answer {
        /** Passes on the status and header fields. */
        void head(int status, List<HeaderField> headers);

        /** Passes on a part of the body. */
        void bytes(byte[] bytes);

        /** Completes the answer. */
        void end();

        /**
         * Fails the call.
         *
         * @param passedOn whether the upstream may have received the request
         */
        void failed(boolean passedOn, String reason);
    }

    /** Runs requests on behalf of an upstream. */
    public interface Upstream {
        /** Starts a request and returns an action that cancels it. */
        Runnable call(String address, Request request, Answer answer);
    }

    /** The agent's side of a data connection from an entry. */
    public static final class Peer {
        private final EntryConnection mEntryConnection;

        /**
         * Creates a connection that passes the agent's messages to a sink and is always writable.
         */
        public Peer(Consumer<Message> sink) {
            mEntryConnection =
                    new EntryConnection(
                            new AnswerSender() {
                                @Override
                                public boolean send(Message message) {
                                    sink.accept(message);
                                    return true;
                                }

                                @Override
                                public boolean writable() {
                                    return true;
                                }
                            });
        }
    }

    /**
     * Assembles the request duty and puts it into operation.
     *
     * @param stateListener receives each change of an upstream's state
     */
    public RequestTestDriver(
            Clock clock, Upstream upstream, Consumer<UpstreamState> stateListener) {
        mTable = new AnnouncementTable(clock, stateListener);
        mDuty =
                new RequestDuty(
                        clock,
                        mTable,
                        (address, request, listener) -> {
                            Runnable cancel =
                                    upstream.call(address, request, adaptListener(listener));
                            return new UpstreamCall() {
                                @Override
                                public void cancel() {
                                    cancel.run();
                                }

                                @Override
                                public void pause() {}

                                @Override
                                public void resume() {}
                            };
                        },
                        DuplicateLimits.AGENT,
                        new MetricRegistry());
        mDuty.markConfigured();
    }

    /**
     * Announces an upstream of the service {@code svc} to the agent.
     *
     * @param slots number of requests that the upstream accepts at the same time
     * @param leaving whether the upstream accepts no new requests
     */
    public void announce(String address, int slots, boolean leaving) {
        try {
            mTable.announce(new Announcement("svc", address, slots, 64, leaving));
        } catch (AnnouncementException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Delivers a message of an entry. */
    public void handleMessage(Peer peer, Message message) {
        mDuty.handleMessage(peer.mEntryConnection, message);
    }

    /** Reports that the connection of an entry has been lost. */
    public void handleDisconnect(Peer peer) {
        mDuty.handleDisconnect(peer.mEntryConnection);
    }

    /** Runs one step of the request duty. */
    public void step() {
        mDuty.step();
    }

    /** Begins the planned stop of the agent. */
    public void stop() {
        mDuty.stop();
    }

    /** Returns whether no request is in progress. */
    public boolean isIdle() {
        return mDuty.isIdle();
    }

    /** Adapts a listener of the agent to the answer of a simulated upstream. */
    private static Answer adaptListener(UpstreamCallListener listener) {
        return new Answer() {
            @Override
            public void head(int status, List<HeaderField> headers) {
                listener.head(status, headers);
            }

            @Override
            public void bytes(byte[] bytes) {
                listener.bytes(bytes);
            }

            @Override
            public void end() {
                listener.end();
            }

            @Override
            public void failed(boolean passedOn, String reason) {
                listener.failed(passedOn, reason);
            }
        };
    }
}
