package org.knapweedbank.wire;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageStringCodingException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Validates a payload before it is bound to a record. The data binding of the MessagePack library
 * does not limit nesting depth and sizes and replaces invalid UTF-8, so these are checked here.
 */
final class PayloadValidator {
    private static final MessagePack.UnpackerConfig STRICT_UNPACKER_CONFIG =
            new MessagePack.UnpackerConfig()
                    .withActionOnMalformedString(CodingErrorAction.REPORT)
                    .withActionOnUnmappableString(CodingErrorAction.REPORT);

    private PayloadValidator() {}

    static void validate(byte[] bytes, int offset, int length) throws FrameException {
        try (MessageUnpacker unpacker = STRICT_UNPACKER_CONFIG.newUnpacker(bytes, offset, length)) {
            if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.ARRAY) {
                throw malformed("payload is not an array");
            }
            validateValue(unpacker, 0);
            if (unpacker.hasNext()) {
                throw malformed("payload has trailing bytes after the message");
            }
        } catch (MessageStringCodingException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "payload has a string that is not valid UTF-8",
                    e);
        } catch (MessagePackException | IOException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "payload is truncated or not valid MessagePack",
                    e);
        }
    }

    private static void validateValue(MessageUnpacker unpacker, int depth)
            throws FrameException, IOException {
        switch (unpacker.getNextFormat().getValueType()) {
            case ARRAY -> validateArray(unpacker, depth + 1);
            case STRING -> validateString(unpacker);
            case BINARY -> unpacker.readPayloadAsReference(unpacker.unpackBinaryHeader());
            case MAP, EXTENSION ->
                    throw malformed(
                            "payload has a map or an extension type, which messages do not use");
            default -> unpacker.skipValue();
        }
    }

    private static void validateArray(MessageUnpacker unpacker, int depth)
            throws FrameException, IOException {
        if (depth > FrameCodec.MAX_NESTING_DEPTH) {
            throw limitExceeded(
                    "nesting depth of the payload exceeds the limit of "
                            + FrameCodec.MAX_NESTING_DEPTH);
        }
        int size = unpacker.unpackArrayHeader();
        if (size > FrameCodec.MAX_ARRAY_ELEMENTS) {
            throw limitExceeded(
                    "payload has an array of "
                            + size
                            + " elements; the limit is "
                            + FrameCodec.MAX_ARRAY_ELEMENTS);
        }
        for (int i = 0; i < size; i++) {
            validateValue(unpacker, depth);
        }
    }

    private static void validateString(MessageUnpacker unpacker)
            throws FrameException, IOException {
        if (unpacker.unpackString().length() > FrameCodec.MAX_STRING_LENGTH) {
            throw limitExceeded(
                    "payload has a string longer than "
                            + FrameCodec.MAX_STRING_LENGTH
                            + " characters");
        }
    }

    private static FrameException malformed(String message) {
        return new FrameException(FrameException.Kind.MALFORMED, message);
    }

    private static FrameException limitExceeded(String message) {
        return new FrameException(FrameException.Kind.LIMIT, message);
    }
}
