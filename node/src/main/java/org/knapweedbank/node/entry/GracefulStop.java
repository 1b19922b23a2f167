package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Final phase of a planned stop. Deregisters the entry from the store, keeps serving until the load
 * balancer sends no new callers and no request is open, then closes the listeners. The check and
 * the close run in the same event, so that no request is read in between and lost with the process.
 */
public final class GracefulStop {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final Clock mClock;
    private final Timers mTimers;
    private final long mEarliestCloseMillis;
    private final long mLatestCloseMillis;

    /**
     * Creates the stop; its time limits count from now.
     *
     * @param clock source of time
     * @param timers timers of the process
     * @param balancerDelay time until the load balancer has noticed that the entry is not ready
     * @param timeout time after which the listeners are closed even if requests are open
     */
    public GracefulStop(Clock clock, Timers timers, Duration balancerDelay, Duration timeout) {
        mClock = clock;
        mTimers = timers;
        mEarliestCloseMillis = clock.monotonicMillis() + balancerDelay.toMillis();
        mLatestCloseMillis = clock.monotonicMillis() + timeout.toMillis();
    }

    /**
     * Deregisters the entry and closes the listeners when they are idle.
     *
     * @param deregister deregisters from the store, then runs its argument, also on failure
     * @param openRequests returns the number of requests without an answer
     * @param closeListeners closes the listeners and all connections at once
     */
    public void run(
            Consumer<Runnable> deregister, IntSupplier openRequests, Runnable closeListeners) {
        deregister.accept(() -> {});
        closeWhenIdle(openRequests, closeListeners);
    }

    private void closeWhenIdle(IntSupplier openRequests, Runnable closeListeners) {
        long nowMillis = mClock.monotonicMillis();
        if (nowMillis >= mLatestCloseMillis
                || (nowMillis >= mEarliestCloseMillis && openRequests.getAsInt() == 0)) {
            closeListeners.run();
        } else {
            mTimers.after(CHECK_INTERVAL, () -> closeWhenIdle(openRequests, closeListeners));
        }
    }
}
