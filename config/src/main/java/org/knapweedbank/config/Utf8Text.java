package org.knapweedbank.config;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Text decoded from UTF-8 without replacement of malformed bytes.
 *
 * @param text the text up to the first malformed byte
 * @param malformedAt offset of the first malformed byte, or -1
 * @param line line of the malformed byte, from 1
 */
record Utf8Text(String text, int malformedAt, int line) {
    static Utf8Text decode(byte[] bytes) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(bytes.length + 1);
        CoderResult result = decoder.decode(in, out, true);
        out.flip();
        String text = out.toString();
        int line = 1 + (int) text.chars().filter(c -> c == '\n').count();
        return new Utf8Text(text, result.isError() ? in.position() : -1, line);
    }
}
