package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;

/**
 * Value of the owner key in the store.
 *
 * @param entry name of the entry
 * @param processStartMillis start of its process in Unix milliseconds
 * @param address address that agents and entries connect to, as HOST:PORT
 * @param term term of the ownership
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

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if the value is malformed
     */
    static OwnerRecord decode(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException(
                    "malformed owner record: " + fields.length + " fields");
        }
        return new OwnerRecord(
                fields[0], Long.parseLong(fields[1]), fields[2], Long.parseLong(fields[3]));
    }
}
