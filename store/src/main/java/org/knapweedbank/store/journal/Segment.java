package org.knapweedbank.store.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Records written by one transaction. Epoch and sequence number identify the write, so that its
 * outcome can be read back.
 *
 * @param epoch epoch of the writer
 * @param sequence sequence number in the log
 * @param records the records
 */
record Segment(long epoch, long sequence, List<byte[]> records) {
    private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
    static final int OVERHEAD_BYTES = HEADER_BYTES + Checksummed.OVERHEAD_BYTES;

    static int encodedBytes(byte[] recordBytes) {
        return Integer.BYTES + recordBytes.length;
    }

    byte[] encode() {
        int size = HEADER_BYTES + records.stream().mapToInt(Segment::encodedBytes).sum();
        return Checksummed.encode(
                size,
                buffer -> {
                    buffer.putLong(epoch).putLong(sequence).putInt(records.size());
                    records.forEach(bytes -> buffer.putInt(bytes.length).put(bytes));
                });
    }

    static Segment decode(String key, byte[] value) throws MalformedValueException {
        ByteBuffer buffer = Checksummed.decode(key, value);
        try {
            long epoch = buffer.getLong();
            long sequence = buffer.getLong();
            int count = buffer.getInt();
            List<byte[]> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int length = buffer.getInt();
                if (length < 0 || length > buffer.remaining()) {
                    throw new MalformedValueException(key + " has a record of bad length");
                }
                byte[] bytes = new byte[length];
                buffer.get(bytes);
                records.add(bytes);
            }
            return new Segment(epoch, sequence, records);
        } catch (BufferUnderflowException e) {
            throw new MalformedValueException(key + " is truncated");
        }
    }
}
