package org.knapweedbank.node.store;

/**
 * Key-value pair in the store.
 *
 * @param key its key
 * @param value its value
 * @param revision revision of its last change
 */
public record StoreItem(String key, byte[] value, long revision) {}
