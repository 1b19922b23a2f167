package org.knapweedbank.agent;

import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamState;

/**
 * An upstream on the agent's VM: its announced state, the validity of the announcement, and its
 * slots. Not thread-safe.
 */
final class Upstream {
    private final SlotTable<ActiveRequest> mSlots;
    private UpstreamState mState;
    private long mValidUntilNanos;

    Upstream(UpstreamState state, Clock clock) {
        mState = state;
        mSlots = new SlotTable<>(state.slots(), state.connections(), clock);
        mSlots.setLeaving(state.leaving());
    }

    UpstreamState state() {
        return mState;
    }

    SlotTable<ActiveRequest> slots() {
        return mSlots;
    }

    /** Returns the monotonic time at which the announcement expires. */
    long validUntilNanos() {
        return mValidUntilNanos;
    }

    void extendValidity(long validUntilNanos) {
        mValidUntilNanos = validUntilNanos;
    }

    void update(UpstreamState state) {
        mState = state;
        mSlots.resize(state.slots(), state.connections());
        mSlots.setLeaving(state.leaving() || state.gone());
    }

    /** Returns true if new requests may be forwarded to this upstream. */
    boolean acceptsRequests() {
        return !mState.leaving() && !mState.gone();
    }
}
