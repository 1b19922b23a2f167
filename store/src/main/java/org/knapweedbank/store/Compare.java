package org.knapweedbank.store;

/** Condition on one key, which a transaction evaluates before it runs its operations. */
public sealed interface Compare {
    /**
     * Returns the key on which the condition is evaluated.
     *
     * @return the key
     */
    String key();

    /**
     * Holds if the key does not exist.
     *
     * @param key the key
     */
    record Absent(String key) implements Compare {}

    /**
     * Holds if the key exists and was last changed at the given revision.
     *
     * @param key the key
     * @param revision the expected modification revision
     */
    record ModifiedAt(String key, long revision) implements Compare {}

    /**
     * Holds if the key exists and was created at the given revision.
     *
     * @param key the key
     * @param revision the expected creation revision
     */
    record CreatedAt(String key, long revision) implements Compare {}

    /**
     * Holds if the key exists and has exactly the given value.
     *
     * @param key the key
     * @param value the expected value
     */
    record ValueEquals(String key, byte[] value) implements Compare {}
}
