package org.knapweedbank.store;

import java.nio.charset.StandardCharsets;

/**
 * One key of the store with its value.
 *
 * @param key the key
 * @param value the value, at most 1 MB; not copied
 * @param createRevision store revision at which the key was created
 * @param modRevision store revision of the last change
 * @param leaseId lease of the key, or 0
 */
public record KeyEntry(
        String key, byte[] value, long createRevision, long modRevision, long leaseId) {
    /**
     * The value decoded as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
