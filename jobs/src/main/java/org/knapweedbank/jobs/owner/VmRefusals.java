package org.knapweedbank.jobs.owner;

import org.knapweedbank.time.Clock;

/**
 * Start orders that the worker of a VM, or its agent, has refused. A refused order concerns its
 * task only ({@link TaskRefusals}). If the orders of two tasks are refused and none is carried out
 * in between, the VM gets no orders for a short time, since the cause lasts and the next order
 * would follow within milliseconds.
 */
final class VmRefusals {
    /** Time without orders, in milliseconds. */
    static final long BACKOFF_MILLIS = 250;

    private final Clock mClock;

    /** Task whose order was refused last, null if one has been carried out since. */
    private Task mRefusedTask;

    private long mBackoffUntil = Long.MIN_VALUE;

    VmRefusals(Clock clock) {
        mClock = clock;
    }

    /**
     * Records that the order for a run was refused. Answers to orders that were sent before the
     * last backoff ended do not begin another one: they say nothing new, and a row of late answers
     * would keep the VM closed.
     */
    void record(Run run) {
        boolean several = mRefusedTask != null && mRefusedTask != run.mTask;
        mRefusedTask = run.mTask;
        if (several && run.mOrderedAt >= mBackoffUntil) {
            mBackoffUntil = mClock.monotonicMillis() + BACKOFF_MILLIS;
        }
    }

    /** Records that an order was carried out. */
    void recordStart() {
        mRefusedTask = null;
    }

    /** Forgets everything, after a restart of the worker. */
    void reset() {
        mRefusedTask = null;
        mBackoffUntil = Long.MIN_VALUE;
    }

    /** Returns whether the VM gets no orders now. */
    boolean backsOff() {
        return mClock.monotonicMillis() < mBackoffUntil;
    }
}
