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

/** Gives the fault matrix the request duty of an agent, which is package-private. */
public final class RequestTestDriver {
    private final AnnouncementTable mTable;
    private final RequestDuty mDuty;

    /** Sends the parts of an answer. */
    public interface Answer {
        void head(int status, List<HeaderField> headers);

        void bytes(byte[] bytes);

        void end();

        void failed(boolean passedOn, String reason);
    }

    /** Runs a request; the result cancels it. */
    public interface Upstream {
        Runnable call(String address, Request request, Answer answer);
    }

    /** Connection of an entry. */
    public static final class Peer {
        private final EntryPeer mPeer;

        public Peer(Consumer<Message> sink) {
            mPeer =
                    new EntryPeer(
                            new AnswerSink() {
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
        mDuty.configured();
    }

    public void announce(String address, int slots, boolean leaving) {
        try {
            mTable.announce(new Announcement("svc", address, slots, 64, leaving));
        } catch (AnnouncementException e) {
            throw new IllegalStateException(e);
        }
    }

    public void handleMessage(Peer peer, Message message) {
        mDuty.message(peer.mPeer, message);
    }

    public void handleDisconnect(Peer peer) {
        mDuty.disconnected(peer.mPeer);
    }

    public void step() {
        mDuty.step();
    }

    public void stop() {
        mDuty.stop();
    }

    public boolean isIdle() {
        return mDuty.isIdle();
    }

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
