package org.knapweedbank.node.store;

import java.util.List;

/** Outcome of a write. */
public sealed interface WriteOutcome {
    /**
     * The change is made and kept.
     *
     * @param revision revision of the change
     */
    record Written(long revision) implements WriteOutcome {}

    /**
     * A condition did not hold; nothing was done.
     *
     * @param items present state of the items with conditions; those that do not exist are missing
     */
    record Conflict(List<StoreItem> items) implements WriteOutcome {}

    /** A lease that an item was to live under has ended; nothing was done. */
    record LeaseEnded() implements WriteOutcome {}

    /**
     * The store refused the call; nothing was done.
     *
     * @param reason cause for the log
     */
    record NotDone(String reason) implements WriteOutcome {}

    /**
     * No answer came. The change may have been made, or may still be made while its conditions
     * hold.
     *
     * @param reason cause for the log
     */
    record Unknown(String reason) implements WriteOutcome {}
}
