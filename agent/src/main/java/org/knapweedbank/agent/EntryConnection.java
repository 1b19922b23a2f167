package org.knapweedbank.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A connected entry with its open requests. Not thread-safe. */
final class EntryConnection {
    private final AnswerSender mSender;
    private final Map<Long, ActiveRequest> mOpenRequests = new HashMap<>();
    private final Set<ActiveRequest> mPausedRequests = new HashSet<>();

    EntryConnection(AnswerSender sender) {
        mSender = sender;
    }

    AnswerSender sender() {
        return mSender;
    }

    /** Returns the open requests, by the identifier that the entry gave them. */
    Map<Long, ActiveRequest> openRequests() {
        return mOpenRequests;
    }

    /**
     * Returns the requests whose answers are paused at the upstream until the connection to the
     * entry is writable again.
     */
    Set<ActiveRequest> pausedRequests() {
        return mPausedRequests;
    }
}
