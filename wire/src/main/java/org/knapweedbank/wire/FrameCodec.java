package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as frames and decodes frames. A frame consists of a 4-byte big-endian length of
 * the rest, a protocol version byte, a message type byte and the payload in MessagePack.
 * Thread-safe.
 */
public final class FrameCodec {
    /** Lowest supported protocol version. */
    public static final int MIN_VERSION = 1;

    /** Highest supported protocol version. */
    public static final int MAX_VERSION = 1;

    /** Version byte of the frames sent before a protocol version has been negotiated. */
    public static final int HANDSHAKE_VERSION = 1;

    /** Size of the length field in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Size of the version byte and the type byte together. */
    public static final int HEADER_BYTES = 2;

    /** Maximum size of a frame in bytes, including the length field. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Maximum nesting depth of arrays; the messages use four levels. */
    public static final int MAX_NESTING_DEPTH = 8;

    /**
     * Maximum number of elements of an array; a snapshot of 1,900 upstreams is several times
     * smaller.
     */
    public static final int MAX_ARRAY_ELEMENTS = 16_384;

    /** Maximum length of a string; the longest is the settings document of a configuration. */
    public static final int MAX_STRING_LENGTH = 768 * 1024;

    private final ObjectMapper mMapper;
    private final Map<MessageType, ObjectReader> mReaders = new EnumMap<>(MessageType.class);

    /** Creates a codec. */
    public FrameCodec() {
        MessagePackFactory factory =
                new MessagePackFactory()
                        .setReuseResourceInGenerator(false)
                        .setReuseResourceInParser(false);
        mMapper =
                new ObjectMapper(factory)
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                        .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS);
        mMapper.configOverride(Resources.class)
                .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        mMapper.registerModule(integerModule());
        for (MessageType type : MessageType.values()) {
            mReaders.put(type, mMapper.readerFor(type.messageClass()));
        }
    }

    /**
     * Encodes a message as a complete frame.
     *
     * @param message the message
     * @param version protocol version of the connection
     * @return the frame, including the length field
     * @throws FrameException of kind {@code LENGTH} if the frame exceeds {@link #MAX_FRAME_BYTES}
     */
    public Buffer encode(Message message, int version) throws FrameException {
        byte[] payload;
        try {
            payload = mMapper.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "could not encode message " + message.getClass().getSimpleName(),
                    e);
        }
        int length = HEADER_BYTES + payload.length;
        if (LENGTH_BYTES + length > MAX_FRAME_BYTES) {
            throw new FrameException(
                    FrameException.Kind.LENGTH,
                    message.getClass().getSimpleName()
                            + " of "
                            + payload.length
                            + " bytes exceeds the maximum frame size");
        }
        return Buffer.buffer(LENGTH_BYTES + length)
                .appendInt(length)
                .appendByte((byte) version)
                .appendByte(MessageType.of(message).code())
                .appendBytes(payload);
    }

    /**
     * Checks that the value of a length field is in range.
     *
     * @param length value of the length field in bytes
     * @return the same value
     * @throws FrameException of kind {@code LENGTH} if the value is out of range
     */
    public static int checkLength(int length) throws FrameException {
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES - LENGTH_BYTES) {
            throw new FrameException(
                    FrameException.Kind.LENGTH,
                    "frame length " + Integer.toUnsignedString(length) + " is out of range");
        }
        return length;
    }

    /**
     * Decodes the part of a frame that follows the length field.
     *
     * @param body version byte, type byte and payload
     * @param version protocol version of the connection
     * @return the message
     * @throws FrameException if the version, the type or the payload is invalid
     */
    public Message decode(byte[] body, int version) throws FrameException {
        checkLength(body.length);
        if (body[0] != version) {
            throw new FrameException(
                    FrameException.Kind.VERSION,
                    "frame has protocol version "
                            + Byte.toUnsignedInt(body[0])
                            + ", expected "
                            + version);
        }
        MessageType type = MessageType.of(body[1]);
        PayloadValidator.validate(body, HEADER_BYTES, body.length - HEADER_BYTES);
        try {
            return mReaders.get(type).readValue(body, HEADER_BYTES, body.length - HEADER_BYTES);
        } catch (IOException | RuntimeException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "payload is not a valid "
                            + type.messageClass().getSimpleName()
                            + ": "
                            + failureReason(e),
                    e);
        }
    }

    private static SimpleModule integerModule() {
        SimpleModule module = new SimpleModule("integers");
        module.addDeserializer(int.class, new IntegerDeserializer<>(int.class));
        module.addDeserializer(long.class, new IntegerDeserializer<>(long.class));
        return module;
    }

    private static String failureReason(Exception e) {
        if (e instanceof JsonProcessingException json) {
            return json.getOriginalMessage();
        }
        return String.valueOf(e.getMessage());
    }
}
