package org.knapweedbank.standin;

import java.util.Optional;

/** Switch for the faults of a worker stand-in. Thread-safe. */
public final class WorkerFaults {
    private boolean mDown;
    private boolean mFailEverything;
    private AnswerLoss mLoss;
    private int mLossesLeft;
    private Runnable mListener = () -> {};

    /**
     * Makes the worker unreachable or reachable. Its tasks run on and their leases expire.
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
     * Makes every task that is started fail at once.
     *
     * @param fail true to make them fail
     */
    public synchronized void failEverything(boolean fail) {
        mFailEverything = fail;
    }

    /**
     * Loses the answers to the next calls.
     *
     * @param point where the answers are lost
     * @param count number of calls
     */
    public synchronized void loseAnswers(AnswerLoss point, int count) {
        mLoss = point;
        mLossesLeft = count;
    }

    synchronized boolean isDown() {
        return mDown;
    }

    synchronized boolean failsEverything() {
        return mFailEverything;
    }

    synchronized Optional<AnswerLoss> takeLoss() {
        if (mLossesLeft == 0) {
            return Optional.empty();
        }
        mLossesLeft--;
        return Optional.of(mLoss);
    }

    synchronized void onDownChanged(Runnable listener) {
        mListener = listener;
    }
}
