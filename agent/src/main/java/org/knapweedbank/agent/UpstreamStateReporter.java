package org.knapweedbank.agent;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.wire.UpstreamState;

/**
 * Upstream states to be reported to the owner. A changed state is included in each heartbeat until
 * one that carried it is acknowledged, so that a lost heartbeat does not lose the change. Not
 * thread-safe.
 */
final class UpstreamStateReporter {
    /** State of an upstream, with the heartbeat that first carried it in this session. */
    private static final class Change {
        private UpstreamState mState;
        private long mFirstSentSeq;
        private boolean mAcknowledged;

        private Change(UpstreamState state) {
            mState = state;
        }
    }

    private final Map<String, Change> mChanges = new LinkedHashMap<>();

    /** Records a changed state unless a newer state of the upstream is known. */
    void recordChange(UpstreamState state) {
        Change change = new Change(state);
        mChanges.merge(
                state.service() + '\n' + state.address(),
                change,
                (earlier, latest) -> earlier.mState.seq() < state.seq() ? latest : earlier);
    }

    /**
     * Makes all states due for the first heartbeat of a new session, whose owner knows none of
     * them.
     */
    void sessionOpened() {
        for (Change change : mChanges.values()) {
            change.mFirstSentSeq = 0;
            change.mAcknowledged = false;
        }
    }

    /** Returns the states to be sent with the heartbeat of the given sequence number. */
    List<UpstreamState> statesForHeartbeat(long seq) {
        List<UpstreamState> states = new ArrayList<>();
        for (Change change : mChanges.values()) {
            if (!change.mAcknowledged) {
                change.mFirstSentSeq = change.mFirstSentSeq == 0 ? seq : change.mFirstSentSeq;
                states.add(change.mState);
            }
        }
        return states;
    }

    /** Records that the owner has acknowledged the heartbeat of the given sequence number. */
    void acknowledged(long seq) {
        Iterator<Change> changes = mChanges.values().iterator();
        while (changes.hasNext()) {
            Change change = changes.next();
            if (change.mFirstSentSeq != 0 && change.mFirstSentSeq <= seq) {
                change.mAcknowledged = true;
                if (change.mState.gone()) {
                    changes.remove();
                }
            }
        }
    }
}
