package org.knapweedbank.store;

/** Operation of a transaction. */
public sealed interface Operation {
    /**
     * Writes a key.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @param leaseId store lease with whose end the key is deleted, or 0 for none
     */
    record Put(String key, byte[] value, long leaseId) implements Operation {}

    /**
     * Deletes one key. Deleting an absent key has no effect.
     *
     * @param key the key
     */
    record Delete(String key) implements Operation {}

    /**
     * Deletes the keys from {@code from}, inclusive, to {@code to}, exclusive.
     *
     * @param from first key, inclusive
     * @param to end of the key range, exclusive
     */
    record DeleteRange(String from, String to) implements Operation {}

    /**
     * Reads one key.
     *
     * @param key the key
     */
    record Get(String key) implements Operation {}

    /**
     * Runs a nested transaction. Its conditions do not affect the other operations of the enclosing
     * transaction.
     *
     * @param transaction the nested transaction
     */
    record Nested(Transaction transaction) implements Operation {}
}
