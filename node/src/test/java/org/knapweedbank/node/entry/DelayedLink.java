package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/** One direction of a link, which keeps the order of its messages. */
final class DelayedLink implements Link {
    private final String mName;
    private final ManualTimers mTimers;
    private final Clock mClock;
    private final EventTrace mTrace;
    private final LongSupplier mDelayMillis;
    private final Consumer<NodeMessage> mReceiver;
    private final Consumer<String> mOnClose;
    private long mLastArrivalMillis;
    private boolean mCut;

    DelayedLink(
            String name,
            ManualTimers timers,
            Clock clock,
            EventTrace trace,
            LongSupplier delayMillis,
            Consumer<NodeMessage> receiver,
            Consumer<String> onClose) {
        mName = name;
        mTimers = timers;
        mClock = clock;
        mTrace = trace;
        mDelayMillis = delayMillis;
        mReceiver = receiver;
        mOnClose = onClose;
    }

    /** Loses all messages that are under way and all later ones. */
    void cut() {
        mCut = true;
    }

    @Override
    public void send(NodeMessage message) {
        long now = mClock.monotonicMillis();
        mLastArrivalMillis = Math.max(mLastArrivalMillis, now + mDelayMillis.getAsLong());
        mTimers.after(Duration.ofMillis(mLastArrivalMillis - now), () -> deliver(message));
    }

    private void deliver(NodeMessage message) {
        if (!mCut) {
            boolean periodic =
                    message instanceof NodeMessage.Ping || message instanceof NodeMessage.Pong;
            if (!periodic) {
                mTrace.add(mName, "message", message);
            }
            mReceiver.accept(message);
        }
    }

    @Override
    public void close(String reason) {
        mTrace.add(mName, "close", reason);
        mOnClose.accept(reason);
    }

    @Override
    public String remoteAddress() {
        return mName;
    }
}
