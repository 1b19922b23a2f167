package org.knapweedbank.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A connected entry with its open requests. */
final class EntryPeer {
    private final AnswerSink mSink;
    private final Map<Long, ActiveRequest> mRequests = new HashMap<>();
    private final Set<ActiveRequest> mPaused = new HashSet<>();

    EntryPeer(AnswerSink sink) {
        mSink = sink;
    }

    AnswerSink sink() {
        return mSink;
    }

    /** Open requests by the identifier that the entry gave them. */
    Map<Long, ActiveRequest> requests() {
        return mRequests;
    }

    /** Requests whose upstream is held back until the connection drains. */
    Set<ActiveRequest> paused() {
        return mPaused;
    }
}
