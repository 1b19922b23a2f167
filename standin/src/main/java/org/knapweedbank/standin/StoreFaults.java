package org.knapweedbank.standin;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Switch for the faults of a store, or of one client's path to it. Thread-safe. */
public final class StoreFaults {
    private final Map<StoreCallKind, Loss> mLosses = new EnumMap<>(StoreCallKind.class);
    private boolean mDown;
    private Duration mDelay = Duration.ZERO;
    private Runnable mListener = () -> {};

    /** Number of further answers to lose, and where. */
    private record Loss(AnswerLoss point, int remaining) {}

    /**
     * Makes the store unreachable or reachable. While it is unreachable, calls end as unavailable
     * and watches are interrupted; leases go on expiring.
     *
     * @param down true to make it unreachable
     */
    public void down(boolean down) {
        Runnable listener;
        synchronized (this) {
            mDown = down;
            listener = mListener;
        }
        listener.run();
    }

    /**
     * Delays answers. A call takes effect at once; its answer is given by the first {@code tick()}
     * of the store after the delay.
     *
     * @param delay the delay, or zero for none
     */
    public synchronized void slow(Duration delay) {
        mDelay = delay;
    }

    /**
     * Loses the answers to the next calls of a kind.
     *
     * @param kind the kind
     * @param point where the answers are lost
     * @param count number of calls, or 0 to end the fault
     */
    public synchronized void loseAnswers(StoreCallKind kind, AnswerLoss point, int count) {
        if (count == 0) {
            mLosses.remove(kind);
        } else {
            mLosses.put(kind, new Loss(point, count));
        }
    }

    /** Ends all faults. */
    public void clear() {
        synchronized (this) {
            mDelay = Duration.ZERO;
            mLosses.clear();
        }
        down(false);
    }

    synchronized boolean isDown() {
        return mDown;
    }

    synchronized Duration delay() {
        return mDelay;
    }

    synchronized Optional<AnswerLoss> takeLoss(StoreCallKind kind) {
        Loss loss = mLosses.get(kind);
        if (loss == null) {
            return Optional.empty();
        }
        loseAnswers(kind, loss.point, loss.remaining - 1);
        return Optional.of(loss.point);
    }

    synchronized void onDownChanged(Runnable listener) {
        Runnable before = mListener;
        mListener =
                () -> {
                    before.run();
                    listener.run();
                };
    }
}
