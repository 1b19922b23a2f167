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

    /** Writes a payload. */
    private interface Payload {
        void write(MessageBufferPacker packer) throws IOException;
    }

    static Stream<Message> samples() {
        return SampleMessages.all().stream();
    }

    /** Guards against a message type without a sample, and so without a round trip. */
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

    /** Guards against a component lost or changed by the encoding. */
    @ParameterizedTest
    @MethodSource("samples")
    void roundTrip(Message message) throws FrameException {
        byte[] frame = mCodec.encode(message, 1).getBytes();
        Message decoded = mCodec.decode(body(frame), 1);
        assertThat(decoded).isInstanceOf(message.getClass());
        assertThat(mCodec.encode(decoded, 1).getBytes()).isEqualTo(frame);
    }

    static Stream<Arguments> badInput() {
        byte[] cancel = body(MessageType.CANCEL, p -> p.packArrayHeader(1));
        return Stream.of(
                Arguments.of("no header", new byte[] {1}, Kind.LENGTH),
                Arguments.of("oversized", new byte[FrameCodec.MAX_FRAME], Kind.LENGTH),
                Arguments.of("unknown version", new byte[] {2, 0x41, (byte) 0x90}, Kind.VERSION),
                Arguments.of("unknown type", new byte[] {1, (byte) 0xf0, 0x10}, Kind.TYPE),
                Arguments.of("empty payload", new byte[] {1, 0x41}, Kind.MALFORMED),
                Arguments.of("truncated array", cancel, Kind.MALFORMED),
                Arguments.of(
                        "wrong type of a component",
                        cancel(p -> p.packArrayHeader(1).packString("seven")),
                        Kind.MALFORMED),
                Arguments.of(
                        "fraction for an integer",
                        cancel(p -> p.packArrayHeader(1).packDouble(1.5)),
                        Kind.MALFORMED),
                Arguments.of(
                        "integer out of range",
                        body(
                                MessageType.RESPONSE_CHUNK,
                                p ->
                                        p.packArrayHeader(3)
                                                .packLong(1)
                                                .packLong(1L << 40)
                                                .packBinaryHeader(0)),
                        Kind.MALFORMED),
                Arguments.of(
                        "unsigned integer beyond 63 bits",
                        cancel(
                                p ->
                                        p.packArrayHeader(1)
                                                .packBigInteger(BigInteger.ONE.shiftLeft(63))),
                        Kind.MALFORMED),
                Arguments.of("nil", cancel(p -> p.packArrayHeader(1).packNil()), Kind.MALFORMED),
                Arguments.of(
                        "missing component", cancel(p -> p.packArrayHeader(0)), Kind.MALFORMED),
                Arguments.of("map", cancel(p -> p.packMapHeader(0)), Kind.MALFORMED),
                Arguments.of(
                        "bytes after the message",
                        cancel(p -> p.packArrayHeader(1).packLong(1).packLong(2)),
                        Kind.MALFORMED));
    }

    static Stream<Arguments> inputBeyondLimits() {
        return Stream.of(
                Arguments.of("deep nesting", cancel(FrameCodecTest::packDeep), Kind.LIMIT),
                Arguments.of(
                        "long array",
                        cancel(p -> p.packArrayHeader(FrameCodec.MAX_ARRAY + 1)),
                        Kind.LIMIT),
                Arguments.of(
                        "long string",
                        cancel(
                                p ->
                                        p.packArrayHeader(1)
                                                .packString("x".repeat(FrameCodec.MAX_STRING + 1))),
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
                                p -> p.packArrayHeader(2).packString("").packLong(1)),
                        Kind.MALFORMED),
                Arguments.of(
                        "unknown enum value",
                        body(
                                MessageType.REPORT_ACK,
                                p ->
                                        p.packArrayHeader(3)
                                                .packString("j/1")
                                                .packInt(1)
                                                .packString("GONE")),
                        Kind.MALFORMED));
    }

    /** Guards against bad input that is accepted, or fails with another kind of error. */
    @ParameterizedTest(name = "{0}")
    @MethodSource({"badInput", "inputBeyondLimits"})
    void rejectsBadInput(String name, byte[] body, Kind kind) {
        FrameException e = assertThrows(FrameException.class, () -> mCodec.decode(body, 1));
        assertWithMessage("%s: %s", name, e.getMessage()).that(e.kind()).isEqualTo(kind);
    }

    /** Guards against an error that does not name the message and the missing component. */
    @Test
    void namesTheMissingComponent() {
        byte[] body = cancel(p -> p.packArrayHeader(0));
        FrameException e = assertThrows(FrameException.class, () -> mCodec.decode(body, 1));
        assertThat(e).hasMessageThat().contains("Cancel");
        assertThat(e).hasMessageThat().contains("'id'");
    }

    /** Guards against a newer version's appended components being refused. */
    @Test
    void ignoresAppendedComponents() throws FrameException {
        byte[] body =
                cancel(
                        p ->
                                p.packArrayHeader(3)
                                        .packLong(7)
                                        .packString("new")
                                        .packArrayHeader(1)
                                        .packInt(1));
        assertThat(mCodec.decode(body, 1)).isEqualTo(new Cancel(7));
    }

    /** Guards against a negative or huge length being used as an allocation size. */
    @Test
    void checksLengths() throws FrameException {
        for (int length : new int[] {Integer.MIN_VALUE, -1, 0, 1, FrameCodec.MAX_FRAME}) {
            assertThrows(FrameException.class, () -> FrameCodec.checkLength(length));
        }
        int largest = FrameCodec.MAX_FRAME - FrameCodec.LENGTH_BYTES;
        assertThat(FrameCodec.checkLength(largest)).isEqualTo(largest);
    }

    /** Guards against a frame that the peer would refuse as oversized. */
    @Test
    void refusesToEncodeOversizedMessage() {
        Message message = new ResponseChunk(1, 0, new byte[FrameCodec.MAX_FRAME]);
        FrameException e = assertThrows(FrameException.class, () -> mCodec.encode(message, 1));
        assertThat(e.kind()).isEqualTo(Kind.LENGTH);
    }

    /** Guards against any input ending in another exception than {@link FrameException}. */
    @Test
    void fuzz() {
        Random random = new Random(FUZZ_SEED);
        byte[][] frames = samples().map(this::encoded).toArray(byte[][]::new);
        int accepted = 0;
        for (int i = 0; i < FUZZ_ROUNDS; i++) {
            byte[] body = mutate(frames[random.nextInt(frames.length)], random);
            try {
                assertThat(mCodec.decode(body, 1)).isNotNull();
                accepted++;
            } catch (FrameException e) {
                assertThat(e.kind()).isNotNull();
            }
        }
        assertThat(accepted).isLessThan(FUZZ_ROUNDS);
    }

    private byte[] encoded(Message message) {
        try {
            return body(mCodec.encode(message, 1).getBytes());
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] mutate(byte[] frame, Random random) {
        byte[] body = frame.clone();
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(body, random.nextInt(body.length + 8)) : body;
    }

    private static void packDeep(MessageBufferPacker packer) throws IOException {
        for (int i = 0; i < 50_000; i++) {
            packer.packArrayHeader(1);
        }
        packer.packLong(1);
    }

    private static byte[] cancel(Payload payload) {
        return body(MessageType.CANCEL, payload);
    }

    private static byte[] body(MessageType type, Payload payload) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(new byte[] {1, type.code()});
            payload.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] body(byte[] frame) {
        return Arrays.copyOfRange(frame, FrameCodec.LENGTH_BYTES, frame.length);
    }
}
