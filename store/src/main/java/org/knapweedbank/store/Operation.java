package org.knapweedbank.store;

/** Operation inside a transaction. */
public sealed interface Operation {
    /**
     * Writes a key.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @param leaseId lease that the key is put under, or 0
     */
    record Put(String key, byte[] value, long leaseId) implements Operation {}

    /**
     * Deletes one key; deleting an absent key has no effect.
     *
     * @param key the key
     */
    record Delete(String key) implements Operation {}

    /**
     * Deletes the keys in [{@code from}, {@code to}).
     *
     * @param from first key, inclusive
     * @param to end, exclusive
     */
    record DeleteRange(String from, String to) implements Operation {}

    /**
     * Reads one key.
     *
     * @param key the key
     */
    record Get(String key) implements Operation {}

    /**
     * Runs a transaction of its own, with compares that do not affect its siblings.
     *
     * @param transaction the nested transaction
     */
    record Nested(Transaction transaction) implements Operation {}
}
