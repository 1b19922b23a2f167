package org.knapweedbank.standin;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Fault settings of a simulated store, or of the network between the store and one client.
 * Thread-safe.
 */
public final class StoreFaults {
    private final Map<StoreCallKind, Loss> mLosses = new EnumMap<>(StoreCallKind.class);
    private boolean mDown;
    private Duration mDelay = Duration.ZERO;
    private Runnable mDownListener = () -> {};

    /**
     * Loss of the responses to the next calls of one kind.
     *
     * @param point point at which each call is interrupted
     * @param remaining number of calls that are still to be interrupted
     */
    private record Loss(AnswerLoss point, int remaining) {}

    /**
     * Makes the store unreachable or reachable. While it is unreachable, calls return {@link
     * org.knapweedbank.store.StoreResult.Unavailable}, watches are interrupted and leases keep
     * expiring.
     *
     * @param down true to make it unreachable
     */
    public void down(boolean down) {
        Runnable listener;
        synchronized (this) {
            mDown = down;
            listener = mDownListener;
        }
        listener.run();
    }

    /**
     * Delays responses. A call still takes effect at once, but its response is delivered by the
     * first {@link InMemoryStore#tick()} after the delay.
     *
     * @param delay delay of each response, or zero for none
     */
    public synchronized void slow(Duration delay) {
        mDelay = delay;
    }

    /**
     * Loses the responses to the next calls of a kind.
     *
     * @param kind kind of the calls
     * @param point point at which each call is interrupted
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

    /** Returns the loss that applies to the next call of a kind, and counts it. */
    synchronized Optional<AnswerLoss> pollLoss(StoreCallKind kind) {
        Loss loss = mLosses.get(kind);
        if (loss == null) {
            return Optional.empty();
        }
        loseAnswers(kind, loss.point, loss.remaining - 1);
        return Optional.of(loss.point);
    }

    /** Adds a listener that is called after each call of {@link #down}. */
    synchronized void addDownListener(Runnable listener) {
        Runnable previous = mDownListener;
        mDownListener =
                () -> {
                    previous.run();
                    listener.run();
                };
    }
}
