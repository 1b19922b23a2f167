package org.knapweedbank.node.store;

import java.util.List;

/** Outcome of a watch. */
public sealed interface WatchOutcome {
    /**
     * The changes, none if the time passed without one.
     *
     * @param events the changes in order
     * @param revision revision to continue from
     */
    record Events(List<StoreEvent> events, long revision) implements WatchOutcome {}

    /** The changes since the given revision are no longer known; the items have to be read. */
    record HistoryGone() implements WatchOutcome {}

    /**
     * The store gave no usable answer.
     *
     * @param reason cause for the log
     */
    record Unavailable(String reason) implements WatchOutcome {}
}
