package org.knapweedbank.store;

import java.util.List;
import java.util.Optional;

/**
 * Result of a read: the entries found and the revision of the store at the time of the read.
 *
 * @param entries entries in ascending order of key
 * @param hasMore true if further entries exist that were left out because of the limit
 * @param revision revision of the store at the read
 */
public record KeyRange(List<KeyEntry> entries, boolean hasMore, long revision) {
    /**
     * Returns the first entry.
     *
     * @return the entry, or empty if no key matched
     */
    public Optional<KeyEntry> first() {
        return entries.stream().findFirst();
    }
}
