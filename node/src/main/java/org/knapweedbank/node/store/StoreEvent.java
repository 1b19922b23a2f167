package org.knapweedbank.node.store;

/**
 * One change of an item.
 *
 * @param key key of the item
 * @param value new value, null if the item was removed
 * @param revision revision of the change
 */
public record StoreEvent(String key, byte[] value, long revision) {
    /**
     * Tells whether the item was removed.
     *
     * @return true if it is gone
     */
    public boolean removed() {
        return value == null;
    }
}
