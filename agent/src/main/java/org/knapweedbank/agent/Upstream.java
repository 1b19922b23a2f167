package org.knapweedbank.agent;

import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamState;

/** An upstream beside the agent: its announced state and its slots. */
final class Upstream {
    private final SlotTable<ActiveRequest> mSlots;
    private UpstreamState mState;
    private long mValidUntilNanos;

    Upstream(UpstreamState state, Clock clock) {
        mState = state;
        mSlots = new SlotTable<>(state.slots(), state.connections(), clock);
        mSlots.leaving(state.leaving());
    }

    UpstreamState state() {
        return mState;
    }

    SlotTable<ActiveRequest> slots() {
        return mSlots;
    }

    long validUntilNanos() {
        return mValidUntilNanos;
    }

    void renew(long validUntilNanos) {
        mValidUntilNanos = validUntilNanos;
    }

    void change(UpstreamState state) {
        mState = state;
        mSlots.resize(state.slots(), state.connections());
        mSlots.leaving(state.leaving() || state.gone());
    }

    /** True if new requests may go to this upstream. */
    boolean accepts() {
        return !mState.leaving() && !mState.gone();
    }
}
