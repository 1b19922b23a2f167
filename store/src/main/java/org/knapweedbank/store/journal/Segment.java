package org.knapweedbank.store.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Log segment: the records written by one transaction. The epoch and the sequence number identify
 * the write, so that an unknown outcome can be resolved by reading the segment back.
 *
 * @param epoch epoch of the owner that wrote the segment
 * @param sequence sequence number of the segment in the log
 * @param records the records
 */
record Segment(long epoch, long sequence, List<byte[]> records) {
    private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
    static final int OVERHEAD_BYTES = HEADER_BYTES + ChecksummedValue.OVERHEAD_BYTES;

    static int encodedRecordBytes(byte[] recordBytes) {
        return Integer.BYTES + recordBytes.length;
    }

    byte[] encode() {
        int size = HEADER_BYTES + records.stream().mapToInt(Segment::encodedRecordBytes).sum();
        return ChecksummedValue.encode(
                size,
                buffer -> {
                    buffer.putLong(epoch).putLong(sequence).putInt(records.size());
                    records.forEach(bytes -> buffer.putInt(bytes.length).put(bytes));
                });
    }

    static Segment decode(String key, byte[] value) throws MalformedValueException {
        ByteBuffer buffer = ChecksummedValue.decode(key, value);
        try {
            long epoch = buffer.getLong();
            long sequence = buffer.getLong();
            int recordCount = buffer.getInt();
            List<byte[]> records = new ArrayList<>();
            for (int i = 0; i < recordCount; i++) {
                int length = buffer.getInt();
                if (length < 0 || length > buffer.remaining()) {
                    throw new MalformedValueException(key + " has a record of invalid length");
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
