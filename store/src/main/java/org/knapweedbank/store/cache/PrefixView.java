package org.knapweedbank.store.cache;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.store.KeyEntry;

/**
 * Local copy of the keys with a prefix. The revision of a key in the view never decreases.
 * Thread-safe.
 */
public interface PrefixView {
    /**
     * Returns the entry of a key.
     *
     * @param key the key
     * @return the entry as last seen, or empty if the key is not in the view
     */
    Optional<KeyEntry> get(String key);

    /**
     * Returns the entries with a prefix.
     *
     * @param prefix prefix that starts with the prefix of the view
     * @return entries in ascending order of key
     */
    List<KeyEntry> list(String prefix);

    /**
     * Registers a listener that is called after changes under a prefix, and once after the first
     * read of the view. Several changes may lead to a single call. The listener is called by one
     * thread at a time and must not block.
     *
     * @param prefix prefix that starts with the prefix of the view
     * @param listener the listener
     */
    void subscribe(String prefix, Runnable listener);

    /**
     * Returns when the view was last confirmed: the monotonic time at which the last successful
     * read of the whole prefix was sent. It does not advance while the store does not respond.
     *
     * @return monotonic time in nanoseconds, or {@link Long#MIN_VALUE} if the view has never been
     *     confirmed
     */
    long confirmedNanos();
}
