package org.knapweedbank.wire;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageStringCodingException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Walks through a payload before it is bound to a record. The databind layer of the MessagePack
 * library has no limits on nesting and sizes and replaces invalid UTF-8, so they are checked here.
 */
final class PayloadCheck {
    private static final MessagePack.UnpackerConfig CONFIG =
            new MessagePack.UnpackerConfig()
                    .withActionOnMalformedString(CodingErrorAction.REPORT)
                    .withActionOnUnmappableString(CodingErrorAction.REPORT);

    private PayloadCheck() {}

    static void check(byte[] bytes, int offset, int length) throws FrameException {
        try (MessageUnpacker unpacker = CONFIG.newUnpacker(bytes, offset, length)) {
            if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.ARRAY) {
                throw malformed("payload is not an array");
            }
            checkValue(unpacker, 0);
            if (unpacker.hasNext()) {
                throw malformed("payload has bytes after the message");
            }
        } catch (MessageStringCodingException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED, "payload has a string that is not UTF-8", e);
        } catch (MessagePackException | IOException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED, "payload is truncated or not MessagePack", e);
        }
    }

    private static void checkValue(MessageUnpacker unpacker, int depth)
            throws FrameException, IOException {
        switch (unpacker.getNextFormat().getValueType()) {
            case ARRAY -> checkArray(unpacker, depth + 1);
            case STRING -> checkString(unpacker);
            case BINARY -> unpacker.readPayloadAsReference(unpacker.unpackBinaryHeader());
            case MAP, EXTENSION -> throw malformed("payload has a map or an extension type");
            default -> unpacker.skipValue();
        }
    }

    private static void checkArray(MessageUnpacker unpacker, int depth)
            throws FrameException, IOException {
        if (depth > FrameCodec.MAX_DEPTH) {
            throw limit("nesting is deeper than " + FrameCodec.MAX_DEPTH);
        }
        int size = unpacker.unpackArrayHeader();
        if (size > FrameCodec.MAX_ARRAY) {
            throw limit("array has " + size + " elements, limit " + FrameCodec.MAX_ARRAY);
        }
        for (int i = 0; i < size; i++) {
            checkValue(unpacker, depth);
        }
    }

    private static void checkString(MessageUnpacker unpacker) throws FrameException, IOException {
        if (unpacker.unpackString().length() > FrameCodec.MAX_STRING) {
            throw limit("string is longer than " + FrameCodec.MAX_STRING + " characters");
        }
    }

    private static FrameException malformed(String message) {
        return new FrameException(FrameException.Kind.MALFORMED, message);
    }

    private static FrameException limit(String message) {
        return new FrameException(FrameException.Kind.LIMIT, message);
    }
}
