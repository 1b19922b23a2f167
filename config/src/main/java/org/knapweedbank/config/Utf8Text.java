package org.knapweedbank.config;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Text decoded from UTF-8, where malformed bytes are reported instead of replaced.
 *
 * @param text the text up to the first malformed byte
 * @param malformedOffset offset of the first malformed byte, or -1 if there is none
 * @param line line of the first malformed byte, starting at 1; the last line if there is none
 */
record Utf8Text(String text, int malformedOffset, int line) {
    static Utf8Text decode(byte[] bytes) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer input = ByteBuffer.wrap(bytes);
        CharBuffer output = CharBuffer.allocate(bytes.length + 1);
        CoderResult decoding = decoder.decode(input, output, true);
        output.flip();
        String text = output.toString();
        int line = 1 + (int) text.chars().filter(c -> c == '\n').count();
        return new Utf8Text(text, decoding.isError() ? input.position() : -1, line);
    }
}
