package org.knapweedbank.store.cache;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.store.KeyEntry;

/** Local view of a prefix of the store. A key's revision never goes back. Thread-safe. */
public interface PrefixView {
    /**
     * Looks up a key.
     *
     * @param key the key
     * @return the entry last seen, or empty
     */
    Optional<KeyEntry> get(String key);

    /**
     * Lists keys.
     *
     * @param prefix prefix within that of the view
     * @return entries in ascending order of key
     */
    List<KeyEntry> list(String prefix);

    /**
     * Calls the listener after each change under a prefix, and once after the first read. Calls
     * come from one thread at a time and must not block.
     *
     * @param prefix prefix within that of the view
     * @param listener the listener
     */
    void subscribe(String prefix, Runnable listener);

    /**
     * Moment of the last confirmed view: the monotonic time at which the read was sent whose answer
     * confirmed the view. It does not advance while the store does not answer.
     *
     * @return monotonic nanoseconds of the clock in use, or {@link Long#MIN_VALUE} if never
     */
    long confirmedNanos();
}
