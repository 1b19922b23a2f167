package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.knapweedbank.node.Address;

/**
 * Value of an entry's key in the store.
 *
 * @param address address that agents and entries connect to, as HOST:PORT
 * @param cpuShare share of a core that the VM of the entry provides
 * @param processStartMillis start of its process in Unix milliseconds, 0 if it is not known
 */
record EntryRecord(String address, double cpuShare, long processStartMillis) {
    /** Fields of a record without the start of the process, which earlier versions write. */
    private static final int MIN_FIELD_COUNT = 2;

    private static final int FIELD_COUNT = 3;

    byte[] encode() {
        return (address + "\n" + cpuShare + "\n" + processStartMillis)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; empty if it is malformed. */
    static Optional<EntryRecord> decode(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        boolean wellFormed =
                fields.length >= MIN_FIELD_COUNT
                        && fields.length <= FIELD_COUNT
                        && Address.parse(fields[0]).isPresent();
        if (!wellFormed) {
            return Optional.empty();
        }
        try {
            double cpuShare = Double.parseDouble(fields[1]);
            long start = fields.length < FIELD_COUNT ? 0 : Long.parseLong(fields[2]);
            return Double.isFinite(cpuShare)
                    ? Optional.of(new EntryRecord(fields[0], cpuShare, start))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
