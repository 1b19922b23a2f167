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
 * Converts messages to frames and back. A frame is a 4-byte big-endian length of what follows, one
 * byte protocol version, one byte message type and the MessagePack payload. Safe for use from many
 * threads.
 */
public final class FrameCodec {
    /** Lowest protocol version that this build speaks. */
    public static final int MIN_VERSION = 1;

    /** Highest protocol version that this build speaks. */
    public static final int MAX_VERSION = 1;

    /** Version byte of {@code Hello}, {@code Welcome} and {@code Goodbye}, before negotiation. */
    public static final int HANDSHAKE_VERSION = 1;

    /** Bytes of the length field. */
    public static final int LENGTH_BYTES = 4;

    /** Bytes of version and type. */
    public static final int HEADER_BYTES = 2;

    /** Largest frame in bytes, including the length field. */
    public static final int MAX_FRAME = 1 << 20;

    /** Deepest nesting of arrays; the messages use four levels. */
    public static final int MAX_DEPTH = 8;

    /** Largest number of elements of an array; a snapshot of 1,900 upstreams fits many times. */
    public static final int MAX_ARRAY = 16_384;

    /** Largest string in characters; the longest is the settings document of a configuration. */
    public static final int MAX_STRING = 768 * 1024;

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
        mMapper.registerModule(integers());
        for (MessageType type : MessageType.values()) {
            mReaders.put(type, mMapper.readerFor(type.messageClass()));
        }
    }

    /**
     * Encodes a message as a whole frame.
     *
     * @param message the message
     * @param version protocol version in use
     * @return the frame with its length field
     * @throws FrameException of kind {@code LENGTH} when the frame exceeds {@link #MAX_FRAME}
     */
    public Buffer encode(Message message, int version) throws FrameException {
        byte[] payload;
        try {
            payload = mMapper.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "cannot encode " + message.getClass().getSimpleName(),
                    e);
        }
        int length = HEADER_BYTES + payload.length;
        if (LENGTH_BYTES + length > MAX_FRAME) {
            throw new FrameException(
                    FrameException.Kind.LENGTH,
                    message.getClass().getSimpleName()
                            + " of "
                            + payload.length
                            + " bytes exceeds the frame limit");
        }
        return Buffer.buffer(LENGTH_BYTES + length)
                .appendInt(length)
                .appendByte((byte) version)
                .appendByte(MessageType.of(message).code())
                .appendBytes(payload);
    }

    /**
     * Checks a length field.
     *
     * @param length value of the field
     * @return the length
     * @throws FrameException of kind {@code LENGTH} when it is out of range
     */
    public static int checkLength(int length) throws FrameException {
        if (length < HEADER_BYTES || length > MAX_FRAME - LENGTH_BYTES) {
            throw new FrameException(
                    FrameException.Kind.LENGTH,
                    "frame length " + Integer.toUnsignedString(length) + " is out of range");
        }
        return length;
    }

    /**
     * Decodes the part of a frame after the length field.
     *
     * @param body version, type and payload
     * @param version protocol version in use
     * @return the message
     * @throws FrameException when version, type or payload is not acceptable
     */
    public Message decode(byte[] body, int version) throws FrameException {
        checkLength(body.length);
        if (body[0] != version) {
            throw new FrameException(
                    FrameException.Kind.VERSION,
                    "protocol version " + Byte.toUnsignedInt(body[0]) + ", expected " + version);
        }
        MessageType type = MessageType.of(body[1]);
        PayloadCheck.check(body, HEADER_BYTES, body.length - HEADER_BYTES);
        try {
            return mReaders.get(type).readValue(body, HEADER_BYTES, body.length - HEADER_BYTES);
        } catch (IOException | RuntimeException e) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    "payload is not a " + type.messageClass().getSimpleName() + ": " + reason(e),
                    e);
        }
    }

    private static SimpleModule integers() {
        SimpleModule module = new SimpleModule("integers");
        module.addDeserializer(int.class, new IntegerDeserializer<>(int.class));
        module.addDeserializer(long.class, new IntegerDeserializer<>(long.class));
        return module;
    }

    private static String reason(Exception e) {
        if (e instanceof JsonProcessingException json) {
            return json.getOriginalMessage();
        }
        return String.valueOf(e.getMessage());
    }
}
