package org.knapweedbank.node.store;

/**
 * One item of the store.
 *
 * @param key its key
 * @param value its value
 * @param revision revision of its last change
 */
public record StoreItem(String key, byte[] value, long revision) {}
