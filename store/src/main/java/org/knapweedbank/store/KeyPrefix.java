package org.knapweedbank.store;

/** Key intervals of prefixes. Keys consist of ASCII characters. */
public final class KeyPrefix {
    private KeyPrefix() {}

    /**
     * The first key after all keys with a prefix.
     *
     * @param prefix non-empty prefix of ASCII characters
     * @return end of the interval, exclusive
     * @throws IllegalArgumentException when the prefix is empty
     */
    public static String end(String prefix) {
        if (prefix.isEmpty()) {
            throw new IllegalArgumentException("key prefix is empty");
        }
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }
}
