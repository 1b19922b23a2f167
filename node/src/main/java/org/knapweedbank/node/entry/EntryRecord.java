package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.knapweedbank.node.Address;

/**
 * Value of an entry's key in the store.
 *
 * @param address address that agents and entries connect to, as HOST:PORT
 * @param cpuShare share of a core that the VM of the entry provides
 */
record EntryRecord(String address, double cpuShare) {
    private static final int FIELD_COUNT = 2;

    byte[] encode() {
        return (address + "\n" + cpuShare).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; empty if it is malformed. */
    static Optional<EntryRecord> decode(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != FIELD_COUNT || Address.parse(fields[0]).isEmpty()) {
            return Optional.empty();
        }
        try {
            double cpuShare = Double.parseDouble(fields[1]);
            return Double.isFinite(cpuShare)
                    ? Optional.of(new EntryRecord(fields[0], cpuShare))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
