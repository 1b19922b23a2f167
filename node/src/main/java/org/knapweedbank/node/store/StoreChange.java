package org.knapweedbank.node.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Set of changes that is applied atomically, or not at all if a condition fails.
 *
 * @param expected revisions that keys must have; 0 for a key that must not exist
 * @param puts items to write
 * @param removals keys to remove
 */
public record StoreChange(Map<String, Long> expected, List<Put> puts, List<String> removals) {
    /** Maximum total number of conditions, puts and removals in one change. */
    public static final int MAX_ENTRIES = 32;

    /** Creates an empty change without conditions. */
    public StoreChange() {
        this(new LinkedHashMap<>(), new ArrayList<>(), new ArrayList<>());
    }

    /**
     * Adds a condition on the revision of a key.
     *
     * @param key the key
     * @param revision revision that the key must have, 0 if it must not exist
     * @return this change
     */
    public StoreChange expect(String key, long revision) {
        expected.put(key, revision);
        return this;
    }

    /**
     * Adds an item to write.
     *
     * @param key the key
     * @param value the value
     * @param lease lease that the item is attached to, 0 for none
     * @return this change
     */
    public StoreChange put(String key, byte[] value, long lease) {
        puts.add(new Put(key, value, lease));
        return this;
    }

    /**
     * Adds a key to remove.
     *
     * @param key the key
     * @return this change
     */
    public StoreChange remove(String key) {
        removals.add(key);
        return this;
    }

    /**
     * Item to write.
     *
     * @param key its key
     * @param value its value
     * @param lease lease that it is attached to, 0 for none
     */
    public record Put(String key, byte[] value, long lease) {}
}
