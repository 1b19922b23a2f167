package org.knapweedbank.standin;

import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.WatchListener;

/**
 * A change of one key in the history of an {@link InMemoryStore}.
 *
 * @param key the changed key
 * @param revision store revision that the change created
 * @param entry entry after the change, or null if the key was deleted
 */
record StoreChange(String key, long revision, KeyEntry entry) {
    void notifyListener(WatchListener listener) {
        if (entry == null) {
            listener.deleted(key, revision);
        } else {
            listener.put(entry);
        }
    }
}
