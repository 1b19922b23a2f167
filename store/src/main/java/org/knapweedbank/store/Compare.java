package org.knapweedbank.store;

/** Condition of a transaction. */
public sealed interface Compare {
    /**
     * The key on which the condition is evaluated.
     *
     * @return the key
     */
    String key();

    /**
     * The key does not exist.
     *
     * @param key the key
     */
    record Absent(String key) implements Compare {}

    /**
     * The key was last changed at this revision.
     *
     * @param key the key
     * @param revision the expected modification revision
     */
    record ModifiedAt(String key, long revision) implements Compare {}

    /**
     * The key was created at this revision.
     *
     * @param key the key
     * @param revision the expected creation revision
     */
    record CreatedAt(String key, long revision) implements Compare {}

    /**
     * The key has exactly this value.
     *
     * @param key the key
     * @param value the expected value
     */
    record ValueEquals(String key, byte[] value) implements Compare {}
}
