package org.knapweedbank.store.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Value of the snapshot key. A snapshot that fits into one value is held in it; a larger one is
 * split over part keys, which are written before the head refers to them.
 *
 * @param epoch epoch of the writer
 * @param lastSequence last log segment whose effect is contained
 * @param parts number of part keys; 0 when the snapshot is held inline
 * @param inline the snapshot when there are no parts
 */
record SnapshotHead(long epoch, long lastSequence, int parts, byte[] inline) {
    private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
    static final int OVERHEAD_BYTES = HEADER_BYTES + Checksummed.OVERHEAD_BYTES;

    byte[] encode() {
        return Checksummed.encode(
                HEADER_BYTES + inline.length,
                buffer -> buffer.putLong(epoch).putLong(lastSequence).putInt(parts).put(inline));
    }

    static SnapshotHead decode(String key, byte[] value) throws MalformedValueException {
        ByteBuffer buffer = Checksummed.decode(key, value);
        try {
            long epoch = buffer.getLong();
            long lastSequence = buffer.getLong();
            int parts = buffer.getInt();
            byte[] inline = new byte[buffer.remaining()];
            buffer.get(inline);
            return new SnapshotHead(epoch, lastSequence, parts, inline);
        } catch (BufferUnderflowException e) {
            throw new MalformedValueException(key + " is truncated");
        }
    }
}
