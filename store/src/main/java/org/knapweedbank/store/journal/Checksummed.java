package org.knapweedbank.store.journal;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/** Frame of the journal's values: format version, payload, CRC-32C of both. */
final class Checksummed {
    private static final byte VERSION = 1;
    private static final int CRC_BYTES = Integer.BYTES;
    static final int OVERHEAD_BYTES = 1 + CRC_BYTES;

    private Checksummed() {}

    static byte[] encode(int payloadBytes, Consumer<ByteBuffer> writer) {
        ByteBuffer buffer = ByteBuffer.allocate(payloadBytes + OVERHEAD_BYTES);
        buffer.put(VERSION);
        writer.accept(buffer);
        buffer.putInt(crc(buffer.array(), payloadBytes + 1));
        return buffer.array();
    }

    static ByteBuffer decode(String key, byte[] value) throws MalformedValueException {
        if (value.length < OVERHEAD_BYTES || value[0] != VERSION) {
            throw new MalformedValueException(key + " has an unknown format");
        }
        ByteBuffer buffer = ByteBuffer.wrap(value);
        int length = value.length - CRC_BYTES;
        if (buffer.getInt(length) != crc(value, length)) {
            throw new MalformedValueException(key + " has a wrong checksum");
        }
        return buffer.limit(length).position(1);
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
