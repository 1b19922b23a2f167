package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;

/**
 * Departure of a worker, from its notice that it leaves until nothing runs on it any more. The
 * notice does not show that the worker has ended, nor does its confirmation, which may get lost: a
 * worker without a confirmation runs on for seconds.
 */
final class WorkerDeparture {
    /**
     * Maximum time for which the notice is not confirmed, so that the worker lists the ends of its
     * runs. A worker waits about a second for the confirmation.
     */
    private static final Duration MAX_CONFIRMATION_DELAY = Duration.ofMillis(800);

    /** Maximum time that a leaving worker may hold back its answer to a lease renewal. */
    static final Duration MAX_RENEWAL_WAIT = Duration.ofMillis(50);

    private final Clock mClock;
    private final long mNoticedAtMillis;
    private final List<Runnable> mConfirmations = new ArrayList<>();

    WorkerDeparture(Clock clock, Timers timers) {
        mClock = clock;
        mNoticedAtMillis = clock.monotonicMillis();
        timers.after(MAX_CONFIRMATION_DELAY, this::confirm);
    }

    /** Adds an action that confirms a notice; it runs at once if it must not be delayed. */
    void add(Runnable confirmation) {
        mConfirmations.add(confirmation);
        if (isConfirmationDue()) {
            confirm();
        }
    }

    /**
     * Returns whether lists were requested after the notice, so that they hold every run that was
     * ordered before it.
     *
     * @param requestedAtMillis monotonic time in milliseconds
     */
    boolean precedes(long requestedAtMillis) {
        return requestedAtMillis >= mNoticedAtMillis;
    }

    /** Returns whether the notice must not be left without a confirmation any longer. */
    boolean isConfirmationDue() {
        long waitedMillis = mClock.monotonicMillis() - mNoticedAtMillis;
        return waitedMillis >= MAX_CONFIRMATION_DELAY.toMillis();
    }

    void confirm() {
        List<Runnable> confirmations = List.copyOf(mConfirmations);
        mConfirmations.clear();
        confirmations.forEach(Runnable::run);
    }
}
