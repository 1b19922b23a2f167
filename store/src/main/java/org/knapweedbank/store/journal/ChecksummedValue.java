package org.knapweedbank.store.journal;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Encoding of the journal's values in the store: one byte of format version, the payload, and a
 * CRC-32C checksum of both.
 */
final class ChecksummedValue {
    private static final byte FORMAT_VERSION = 1;
    private static final int CRC_BYTES = Integer.BYTES;
    static final int OVERHEAD_BYTES = 1 + CRC_BYTES;

    private ChecksummedValue() {}

    static byte[] encode(int payloadBytes, Consumer<ByteBuffer> payloadWriter) {
        ByteBuffer buffer = ByteBuffer.allocate(payloadBytes + OVERHEAD_BYTES);
        buffer.put(FORMAT_VERSION);
        payloadWriter.accept(buffer);
        buffer.putInt(checksum(buffer.array(), payloadBytes + 1));
        return buffer.array();
    }

    static ByteBuffer decode(String key, byte[] value) throws MalformedValueException {
        if (value.length < OVERHEAD_BYTES || value[0] != FORMAT_VERSION) {
            throw new MalformedValueException(
                    key + " is too short or has an unknown format version");
        }
        ByteBuffer buffer = ByteBuffer.wrap(value);
        int crcOffset = value.length - CRC_BYTES;
        if (buffer.getInt(crcOffset) != checksum(value, crcOffset)) {
            throw new MalformedValueException(key + " does not match its checksum");
        }
        return buffer.limit(crcOffset).position(1);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }
}
