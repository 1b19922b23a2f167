package org.knapweedbank.standin;

import java.util.Optional;

/** Fault settings of a simulated worker. Thread-safe. */
public final class WorkerFaults {
    private boolean mDown;
    private boolean mFailAllAttempts;
    private AnswerLoss mLoss;
    private int mRemainingLosses;
    private Runnable mDownListener = () -> {};

    /**
     * Makes the worker unreachable or reachable. While it is unreachable, its tasks keep running
     * and their leases keep expiring.
     *
     * @param down true to make it unreachable
     */
    public void setDown(boolean down) {
        Runnable listener;
        synchronized (this) {
            mDown = down;
            listener = mDownListener;
        }
        listener.run();
    }

    /**
     * Makes each attempt fail as soon as it is started.
     *
     * @param fail true to make attempts fail
     */
    public synchronized void setFailAllAttempts(boolean fail) {
        mFailAllAttempts = fail;
    }

    /**
     * Loses the responses to the next calls.
     *
     * @param point point at which each call is interrupted
     * @param count number of calls, or 0 to end the fault
     */
    public synchronized void loseAnswers(AnswerLoss point, int count) {
        mLoss = point;
        mRemainingLosses = count;
    }

    synchronized boolean isDown() {
        return mDown;
    }

    synchronized boolean failsAllAttempts() {
        return mFailAllAttempts;
    }

    /** Returns the loss that applies to the next call, and counts it. */
    synchronized Optional<AnswerLoss> pollLoss() {
        if (mRemainingLosses == 0) {
            return Optional.empty();
        }
        mRemainingLosses--;
        return Optional.of(mLoss);
    }

    synchronized void setDownListener(Runnable listener) {
        mDownListener = listener;
    }
}
