package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Last part of a planned stop: leaves the store, serves open connections until the balancer sends
 * no new callers and no request is open, then closes the listeners. Checking and closing happen in
 * one event, so that no request is read in between and lost with the process.
 */
public final class GracefulStop {
    private static final Duration CHECK = Duration.ofMillis(100);

    private final Clock mClock;
    private final Timers mTimers;
    private final long mEarliest;
    private final long mLatest;

    /**
     * Creates the stop at its beginning.
     *
     * @param clock source of time
     * @param timers timers of the process
     * @param notice time in which the balancer notices that the entry is not ready
     * @param limit time after which the listeners are closed in any case
     */
    public GracefulStop(Clock clock, Timers timers, Duration notice, Duration limit) {
        mClock = clock;
        mTimers = timers;
        mEarliest = clock.monotonicMillis() + notice.toMillis();
        mLatest = clock.monotonicMillis() + limit.toMillis();
    }

    /**
     * Runs the stop.
     *
     * @param leave leaves the store and runs its argument when that is done or can't be
     * @param open number of requests without an answer
     * @param close closes the listeners and all connections at once
     */
    public void run(Consumer<Runnable> leave, IntSupplier open, Runnable close) {
        leave.accept(() -> {});
        check(open, close);
    }

    private void check(IntSupplier open, Runnable close) {
        long now = mClock.monotonicMillis();
        if (now >= mLatest || (now >= mEarliest && open.getAsInt() == 0)) {
            close.run();
        } else {
            mTimers.after(CHECK, () -> check(open, close));
        }
    }
}
