package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.knapweedbank.node.Address;

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

    /** Decodes a record; empty if it is malformed. */
    static Optional<OwnerRecord> decode(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != FIELD_COUNT || Address.parse(fields[2]).isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new OwnerRecord(
                            fields[0],
                            Long.parseLong(fields[1]),
                            fields[2],
                            Long.parseLong(fields[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
