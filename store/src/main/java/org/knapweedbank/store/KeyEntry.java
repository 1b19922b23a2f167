package org.knapweedbank.store;

import java.nio.charset.StandardCharsets;

/**
 * A key of the store with its value and its revisions.
 *
 * @param key the key
 * @param value the value, at most 1 MB; the array is not copied
 * @param createRevision store revision at which the key was created
 * @param modRevision store revision of the last change
 * @param leaseId store lease with whose end the key is deleted, or 0 if there is none
 */
public record KeyEntry(
        String key, byte[] value, long createRevision, long modRevision, long leaseId) {
    /**
     * Returns the value decoded as UTF-8.
     *
     * @return the value as text
     */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
