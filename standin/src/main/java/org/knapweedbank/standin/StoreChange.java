package org.knapweedbank.standin;

import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.WatchListener;

/**
 * A change in the history of the in-memory store.
 *
 * @param key the key
 * @param revision revision of the change
 * @param entry the new entry, or null for a deletion
 */
record StoreChange(String key, long revision, KeyEntry entry) {
    void report(WatchListener listener) {
        if (entry == null) {
            listener.deleted(key, revision);
        } else {
            listener.put(entry);
        }
    }
}
