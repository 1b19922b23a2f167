package org.knapweedbank.store.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Value of the snapshot key. A snapshot that fits into one value is stored inline. A larger
 * snapshot is split over part keys, which are written before the snapshot key refers to them.
 *
 * @param epoch epoch of the owner that wrote the snapshot
 * @param lastSequence sequence number of the last log segment whose effect the snapshot includes
 * @param parts number of part keys; 0 if the snapshot is stored inline
 * @param inline the snapshot if it is stored inline, otherwise empty
 */
record SnapshotHead(long epoch, long lastSequence, int parts, byte[] inline) {
    private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
    static final int OVERHEAD_BYTES = HEADER_BYTES + ChecksummedValue.OVERHEAD_BYTES;

    byte[] encode() {
        return ChecksummedValue.encode(
                HEADER_BYTES + inline.length,
                buffer -> buffer.putLong(epoch).putLong(lastSequence).putInt(parts).put(inline));
    }

    static SnapshotHead decode(String key, byte[] value) throws MalformedValueException {
        ByteBuffer buffer = ChecksummedValue.decode(key, value);
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
