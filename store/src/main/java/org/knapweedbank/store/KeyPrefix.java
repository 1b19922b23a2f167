package org.knapweedbank.store;

/** Converts key prefixes to key ranges. Keys consist of ASCII characters only. */
public final class KeyPrefix {
    private KeyPrefix() {}

    /**
     * Returns the exclusive end of the key range of a prefix: the smallest key that is greater than
     * all keys with the prefix.
     *
     * @param prefix non-empty prefix of ASCII characters
     * @return exclusive end of the key range
     * @throws IllegalArgumentException if the prefix is empty
     */
    public static String rangeEnd(String prefix) {
        if (prefix.isEmpty()) {
            throw new IllegalArgumentException("key prefix is empty");
        }
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }
}
