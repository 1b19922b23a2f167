package org.knapweedbank.node.store;

import java.util.List;

/** Outcome of a write. */
public sealed interface WriteOutcome {
    /**
     * The change is applied and durable.
     *
     * @param revision revision of the change
     */
    record Written(long revision) implements WriteOutcome {}

    /**
     * A condition did not hold; nothing was changed.
     *
     * @param items current items of the keys with conditions; keys that do not exist are missing
     */
    record Conflict(List<StoreItem> items) implements WriteOutcome {}

    /** A lease that an item was to be attached to has ended; nothing was changed. */
    record LeaseEnded() implements WriteOutcome {}

    /**
     * The store refused the call or could not be reached; nothing was changed.
     *
     * @param reason cause for the log
     */
    record NotDone(String reason) implements WriteOutcome {}

    /**
     * There was no usable answer. The change may have been applied, or may still be applied while
     * its conditions hold.
     *
     * @param reason cause for the log
     */
    record Unknown(String reason) implements WriteOutcome {}
}
