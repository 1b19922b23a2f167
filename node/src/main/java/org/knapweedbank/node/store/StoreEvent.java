package org.knapweedbank.node.store;

/**
 * Change of one item.
 *
 * @param key key of the item
 * @param value new value, null if the item was removed
 * @param revision revision of the change
 */
public record StoreEvent(String key, byte[] value, long revision) {
    /**
     * Returns whether the item was removed.
     *
     * @return true if it was removed
     */
    public boolean removed() {
        return value == null;
    }
}
