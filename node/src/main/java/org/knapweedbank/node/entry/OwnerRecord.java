package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;

/**
 * Value of the owner's key.
 *
 * @param entry name of the entry
 * @param processStartMillis start of its process in Unix milliseconds
 * @param address where agents and entries reach it
 * @param term its term
 */
record OwnerRecord(String entry, long processStartMillis, String address, long term) {
    private static final int FIELD_COUNT = 4;

    byte[] encode() {
        return String.join(
                        "\n",
                        entry,
                        Long.toString(processStartMillis),
                        address,
                        Long.toString(term))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a value; throws {@link IllegalArgumentException} when it is malformed. */
    static OwnerRecord decode(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException("owner record of " + fields.length + " fields");
        }
        return new OwnerRecord(
                fields[0], Long.parseLong(fields[1]), fields[2], Long.parseLong(fields[3]));
    }
}
