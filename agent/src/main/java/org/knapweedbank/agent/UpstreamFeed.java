package org.knapweedbank.agent;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.wire.UpstreamState;

/**
 * Upstream states that the owner has to know. A changed state goes into each heartbeat until one
 * that carried it is acknowledged, so that a lost heartbeat loses no change.
 */
final class UpstreamFeed {
    private static final class Change {
        private UpstreamState mState;
        private long mFirstSeq;
        private boolean mKnown;

        private Change(UpstreamState state) {
            mState = state;
        }
    }

    private final Map<String, Change> mChanges = new LinkedHashMap<>();

    void changed(UpstreamState state) {
        Change change = new Change(state);
        mChanges.merge(
                state.service() + '\n' + state.address(),
                change,
                (old, fresh) -> old.mState.seq() < state.seq() ? fresh : old);
    }

    /** A new session starts: the owner knows nothing. */
    void sessionOpened() {
        for (Change change : mChanges.values()) {
            change.mFirstSeq = 0;
            change.mKnown = false;
        }
    }

    /** States for the heartbeat of this sequence number. */
    List<UpstreamState> take(long seq) {
        List<UpstreamState> states = new ArrayList<>();
        for (Change change : mChanges.values()) {
            if (!change.mKnown) {
                change.mFirstSeq = change.mFirstSeq == 0 ? seq : change.mFirstSeq;
                states.add(change.mState);
            }
        }
        return states;
    }

    /** The owner has acknowledged the heartbeat of this sequence number. */
    void acknowledged(long seq) {
        Iterator<Change> changes = mChanges.values().iterator();
        while (changes.hasNext()) {
            Change change = changes.next();
            if (change.mFirstSeq != 0 && change.mFirstSeq <= seq) {
                change.mKnown = true;
                if (change.mState.gone()) {
                    changes.remove();
                }
            }
        }
    }
}
