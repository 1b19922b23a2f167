package org.knapweedbank.node.entry;

import org.knapweedbank.time.Clock;

/** When this entry was last linked to an owner. */
final class OwnerContact {
    private final Clock mClock;
    private long mTerm;
    private boolean mLinked;
    private long mClosedAtMillis;

    OwnerContact(Clock clock) {
        mClock = clock;
    }

    void linked(long term) {
        mTerm = term;
        mLinked = true;
    }

    void closed() {
        mLinked = false;
        mClosedAtMillis = mClock.monotonicMillis();
    }

    /**
     * Returns the latest monotonic time in milliseconds at which the link to the owner of a term
     * was open, {@link Long#MIN_VALUE} if there was none.
     */
    long lastLinkedMillis(long term) {
        if (term != mTerm) {
            return Long.MIN_VALUE;
        }
        return mLinked ? mClock.monotonicMillis() : mClosedAtMillis;
    }
}
