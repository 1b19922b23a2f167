package org.knapweedbank.store;

import java.util.List;
import java.util.Optional;

/**
 * Entries read at one revision of the store.
 *
 * @param entries entries in ascending order of key
 * @param more true if the limit left entries out
 * @param revision revision of the store at the read
 */
public record KeyRange(List<KeyEntry> entries, boolean more, long revision) {
    /**
     * The first entry.
     *
     * @return the entry, or empty when no key matched
     */
    public Optional<KeyEntry> first() {
        return entries.stream().findFirst();
    }
}
