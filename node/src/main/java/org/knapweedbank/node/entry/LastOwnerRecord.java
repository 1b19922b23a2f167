package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Value of the key that names the newest owner. Unlike the owner key it is attached to no lease, so
 * the next owner can read it.
 *
 * @param owner the owner
 * @param predecessorsConfirmable how long after its claim an earlier owner may have been confirmed
 */
record LastOwnerRecord(OwnerRecord owner, Duration predecessorsConfirmable) {
    byte[] encode() {
        String fields = new String(owner.encode(), StandardCharsets.UTF_8);
        return (fields + "\n" + predecessorsConfirmable.toMillis())
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; empty if it is malformed. */
    static Optional<LastOwnerRecord> decode(byte[] value) {
        String fields = new String(value, StandardCharsets.UTF_8);
        int separator = Math.max(0, fields.lastIndexOf('\n'));
        byte[] owner = fields.substring(0, separator).getBytes(StandardCharsets.UTF_8);
        try {
            Duration confirmable =
                    Duration.ofMillis(Long.parseUnsignedLong(fields.substring(separator + 1)));
            return OwnerRecord.decode(owner)
                    .map(decoded -> new LastOwnerRecord(decoded, confirmable));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }
}
