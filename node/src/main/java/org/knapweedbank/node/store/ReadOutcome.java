package org.knapweedbank.node.store;

import java.util.List;

/** Outcome of a read. */
public sealed interface ReadOutcome {
    /**
     * The read succeeded.
     *
     * @param items the items in order of their keys
     * @param revision revision of the store from which a watch misses no change
     */
    record Items(List<StoreItem> items, long revision) implements ReadOutcome {}

    /**
     * The store gave no usable answer.
     *
     * @param reason cause for the log
     */
    record Unavailable(String reason) implements ReadOutcome {}
}
