package org.knapweedbank.jobs.owner;

import java.time.Duration;

/**
 * Bounds the time until which the owners of earlier terms may answer agents, and with it the leases
 * on VMs that have not reported to this owner.
 */
final class EarlierOwners {
    private final OwnerState mState;

    /** Monotonic time in milliseconds after which no earlier owner answers an agent. */
    private long mAnswerUntil;

    /**
     * Creates the bound of a new term.
     *
     * @param confirmable how long an earlier owner may still be confirmed
     */
    EarlierOwners(OwnerState state, Duration confirmable) {
        mState = state;
        mAnswerUntil =
                state.mTakenOverAt
                        + confirmable.plus(state.mSettings.renewalAuthority()).toMillis();
    }

    /**
     * Records that no earlier owner answers an agent after a monotonic time in milliseconds.
     *
     * @return true if that was not known before
     */
    boolean limitAnswers(long until) {
        boolean earlier = until < mAnswerUntil;
        mAnswerUntil = Math.min(mAnswerUntil, until);
        return earlier;
    }

    /** Returns the monotonic time in milliseconds at which all leases that they allowed end. */
    long leasesEndAt() {
        return mAnswerUntil + mState.mSettings.leaseTimeout().toMillis();
    }
}
