package org.knapweedbank.wire;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.math.BigInteger;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedbank.wire.FrameException.Kind;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class FrameCodecTest {
    private static final long FUZZ_SEED = 20261204L;
    private static final int FUZZ_ROUNDS = 20_000;

    private final FrameCodec mCodec = new FrameCodec();

    /** Writes the payload of a frame. */
    private interface PayloadWriter {
        void write(MessageBufferPacker packer) throws IOException;
    }

    static Stream<Message> samples() {
        return SampleMessages.all().stream();
    }

    /** Fails if a message type has no sample, since the other tests would then not cover it. */
    @Test
    void samplesCoverEveryType() {
        assertThat(samples().map(MessageType::of).collect(Collectors.toSet()))
                .containsExactlyElementsIn(MessageType.values());
        assertThat(Message.class.getPermittedSubclasses())
                .asList()
                .containsExactlyElementsIn(
                        Arrays.stream(MessageType.values())
                                .map(MessageType::messageClass)
                                .toList());
    }

    /** Fails if encoding and decoding a message loses or changes one of its components. */
    @ParameterizedTest
    @MethodSource("samples")
    void encodedMessageDecodesToSameMessage(Message message) throws FrameException {
        byte[] frame = mCodec.encode(message, 1).getBytes();
        Message decoded = mCodec.decode(body(frame), 1);
        assertThat(decoded).isInstanceOf(message.getClass());
        assertThat(mCodec.encode(decoded, 1).getBytes()).isEqualTo(frame);
    }

    static Stream<Arguments> badInput() {
        byte[] truncatedArray = body(MessageType.CANCEL, packer -> packer.packArrayHeader(1));
        return Stream.of(
                Arguments.of("no header", new byte[] {1}, Kind.LENGTH),
                Arguments.of("oversized", new byte[FrameCodec.MAX_FRAME_BYTES], Kind.LENGTH),
                Arguments.of("unknown version", new byte[] {2, 0x41, (byte) 0x90}, Kind.VERSION),
                Arguments.of("unknown type", new byte[] {1, (byte) 0xf0, 0x10}, Kind.TYPE),
                Arguments.of("empty payload", new byte[] {1, 0x41}, Kind.MALFORMED),
                Arguments.of("truncated array", truncatedArray, Kind.MALFORMED),
                Arguments.of(
                        "wrong type of a component",
                        cancelBody(packer -> packer.packArrayHeader(1).packString("seven")),
                        Kind.MALFORMED),
                Arguments.of(
                        "fraction for an integer",
                        cancelBody(packer -> packer.packArrayHeader(1).packDouble(1.5)),
                        Kind.MALFORMED),
                Arguments.of(
                        "integer out of range",
                        body(
                                MessageType.RESPONSE_CHUNK,
                                packer ->
                                        packer.packArrayHeader(3)
                                                .packLong(1)
                                                .packLong(1L << 40)
                                                .packBinaryHeader(0)),
                        Kind.MALFORMED),
                Arguments.of(
                        "unsigned integer beyond 63 bits",
                        cancelBody(
                                packer ->
                                        packer.packArrayHeader(1)
                                                .packBigInteger(BigInteger.ONE.shiftLeft(63))),
                        Kind.MALFORMED),
                Arguments.of(
                        "nil",
                        cancelBody(packer -> packer.packArrayHeader(1).packNil()),
                        Kind.MALFORMED),
                Arguments.of(
                        "missing component",
                        cancelBody(packer -> packer.packArrayHeader(0)),
                        Kind.MALFORMED),
                Arguments.of("map", cancelBody(packer -> packer.packMapHeader(0)), Kind.MALFORMED),
                Arguments.of(
                        "bytes after the message",
                        cancelBody(packer -> packer.packArrayHeader(1).packLong(1).packLong(2)),
                        Kind.MALFORMED));
    }

    static Stream<Arguments> inputBeyondLimits() {
        return Stream.of(
                Arguments.of(
                        "deep nesting", cancelBody(FrameCodecTest::packDeepNesting), Kind.LIMIT),
                Arguments.of(
                        "long array",
                        cancelBody(
                                packer ->
                                        packer.packArrayHeader(FrameCodec.MAX_ARRAY_ELEMENTS + 1)),
                        Kind.LIMIT),
                Arguments.of(
                        "long string",
                        cancelBody(
                                packer ->
                                        packer.packArrayHeader(1)
                                                .packString(
                                                        "x"
                                                                .repeat(
                                                                        FrameCodec.MAX_STRING_LENGTH
                                                                                + 1))),
                        Kind.LIMIT),
                Arguments.of(
                        "string length beyond the frame",
                        new byte[] {1, 0x41, (byte) 0x91, (byte) 0xdb, 0x7f, -1, -1, -1},
                        Kind.MALFORMED),
                Arguments.of(
                        "invalid UTF-8",
                        new byte[] {1, 0x03, (byte) 0x91, (byte) 0xa2, (byte) 0xc3, 0x28},
                        Kind.MALFORMED),
                Arguments.of(
                        "empty identifier",
                        body(
                                MessageType.CONFIG_ACK,
                                packer -> packer.packArrayHeader(2).packString("").packLong(1)),
                        Kind.MALFORMED),
                Arguments.of(
                        "unknown enum value",
                        body(
                                MessageType.REPORT_ACK,
                                packer ->
                                        packer.packArrayHeader(3)
                                                .packString("j/1")
                                                .packInt(1)
                                                .packString("GONE")),
                        Kind.MALFORMED));
    }

    /** Fails if invalid input is accepted or causes another kind of error. */
    @ParameterizedTest(name = "{0}")
    @MethodSource({"badInput", "inputBeyondLimits"})
    void rejectsInvalidInput(String name, byte[] body, Kind kind) {
        FrameException e = assertThrows(FrameException.class, () -> mCodec.decode(body, 1));
        assertWithMessage("%s: %s", name, e.getMessage()).that(e.kind()).isEqualTo(kind);
    }

    /** Fails if the error does not name the message and the missing component. */
    @Test
    void errorNamesMessageAndMissingComponent() {
        byte[] body = cancelBody(packer -> packer.packArrayHeader(0));
        FrameException e = assertThrows(FrameException.class, () -> mCodec.decode(body, 1));
        assertThat(e).hasMessageThat().contains("Cancel");
        assertThat(e).hasMessageThat().contains("'id'");
    }

    /** Fails if components that a newer protocol version appends are rejected. */
    @Test
    void ignoresAppendedComponents() throws FrameException {
        byte[] body =
                cancelBody(
                        packer ->
                                packer.packArrayHeader(3)
                                        .packLong(7)
                                        .packString("new")
                                        .packArrayHeader(1)
                                        .packInt(1));
        assertThat(mCodec.decode(body, 1)).isEqualTo(new Cancel(7));
    }

    /** Fails if a negative or too large length could be used as an allocation size. */
    @Test
    void rejectsLengthOutOfRange() throws FrameException {
        for (int length : new int[] {Integer.MIN_VALUE, -1, 0, 1, FrameCodec.MAX_FRAME_BYTES}) {
            assertThrows(FrameException.class, () -> FrameCodec.checkLength(length));
        }
        int maxLength = FrameCodec.MAX_FRAME_BYTES - FrameCodec.LENGTH_BYTES;
        assertThat(FrameCodec.checkLength(maxLength)).isEqualTo(maxLength);
    }

    /** Fails if a message is encoded as a frame that the peer would reject as oversized. */
    @Test
    void rejectsEncodingOfOversizedMessage() {
        Message message = new ResponseChunk(1, 0, new byte[FrameCodec.MAX_FRAME_BYTES]);
        FrameException e = assertThrows(FrameException.class, () -> mCodec.encode(message, 1));
        assertThat(e.kind()).isEqualTo(Kind.LENGTH);
    }

    /** Fails if a randomly changed frame causes an exception other than {@link FrameException}. */
    @Test
    void randomlyChangedFramesCauseOnlyFrameExceptions() {
        Random random = new Random(FUZZ_SEED);
        byte[][] frames = samples().map(this::encodedBody).toArray(byte[][]::new);
        int acceptedFrames = 0;
        for (int i = 0; i < FUZZ_ROUNDS; i++) {
            byte[] body = mutate(frames[random.nextInt(frames.length)], random);
            try {
                assertThat(mCodec.decode(body, 1)).isNotNull();
                acceptedFrames++;
            } catch (FrameException e) {
                assertThat(e.kind()).isNotNull();
            }
        }
        assertThat(acceptedFrames).isLessThan(FUZZ_ROUNDS);
    }

    private byte[] encodedBody(Message message) {
        try {
            return body(mCodec.encode(message, 1).getBytes());
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] mutate(byte[] frame, Random random) {
        byte[] body = frame.clone();
        int changedBytes = 1 + random.nextInt(4);
        for (int i = 0; i < changedBytes; i++) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(body, random.nextInt(body.length + 8)) : body;
    }

    private static void packDeepNesting(MessageBufferPacker packer) throws IOException {
        for (int i = 0; i < 50_000; i++) {
            packer.packArrayHeader(1);
        }
        packer.packLong(1);
    }

    private static byte[] cancelBody(PayloadWriter payloadWriter) {
        return body(MessageType.CANCEL, payloadWriter);
    }

    private static byte[] body(MessageType type, PayloadWriter payloadWriter) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(new byte[] {1, type.code()});
            payloadWriter.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] body(byte[] frame) {
        return Arrays.copyOfRange(frame, FrameCodec.LENGTH_BYTES, frame.length);
    }
}
