package org.knapweedbank.entry.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of key files and the authentication of operators. */
class OperatorKeysTest {
    private static final String KEY = "0123456789abcdef";

    @TempDir private Path mDirectory;

    private OperatorKeys read(String text) throws IOException {
        Path file = mDirectory.resolve("keys");
        Files.writeString(file, text);
        return OperatorKeys.read(file);
    }

    /** Guards against accepting a request whose key is not exactly that of an operator. */
    @Test
    void authenticatesOnlyCompleteKey() throws IOException {
        OperatorKeys keys = read("# comment\n\nana:" + KEY + "\nben:" + KEY + ":b\n");
        assertThat(keys.authenticate("Bearer " + KEY)).hasValue("ana");
        assertThat(keys.authenticate("bearer  " + KEY + ":b")).hasValue("ben");
        assertThat(keys.authenticate(null)).isEmpty();
        assertThat(keys.authenticate(KEY)).isEmpty();
        assertThat(keys.authenticate("Basic " + KEY)).isEmpty();
        assertThat(keys.authenticate("Bearer ")).isEmpty();
        assertThat(keys.authenticate("Bearer " + KEY.substring(1))).isEmpty();
        assertThat(keys.authenticate("Bearer " + KEY + "x")).isEmpty();
        assertThat(keys.authenticate("Bearer " + "x".repeat(10_000))).isEmpty();
    }

    /** Guards against accepting a malformed key file, and against keys in error messages. */
    @ParameterizedTest
    @CsvSource({
        "'', no operator",
        "'ana', :1: malformed line",
        "':0123456789abcdef', :1: malformed line",
        "'#\na b:0123456789abcdef', :2: malformed line",
        "'ana:0123456789', :1: key of ana has 10 characters",
        "'ana:0123456789abcdef\nana:0123456789abcdeg', :2: operator ana a second time"
    })
    void rejectsMalformedKeyFile(String text, String message) {
        IOException e = assertThrows(IOException.class, () -> read(text));
        assertThat(e).hasMessageThat().contains(message);
        assertThat(e).hasMessageThat().doesNotContain("0123456789");
    }
}
