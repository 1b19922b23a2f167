package org.knapweedbank.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against accepting settings in part and against reporting errors one by one. */
class SettingsReaderTest {
    private static final Path SAMPLE_DIRECTORY = Path.of("..", "conf");
    private static final Path TEST_FILE = Path.of("test.json");

    @Test
    void acceptsSampleFiles() {
        DaemonSettings entry =
                expectAccepted(SettingsReader.read(SAMPLE_DIRECTORY.resolve("entry.json")));
        assertThat(((DaemonSettings.Entry) entry).callers().port()).isEqualTo(8080);
        DaemonSettings agent =
                expectAccepted(SettingsReader.read(SAMPLE_DIRECTORY.resolve("agent.json")));
        assertThat(((DaemonSettings.Agent) agent).worker()).isEqualTo("127.0.0.1:7600");
    }

    /** Replaces one value of a sample file per row; the error has to state its line and path. */
    @ParameterizedTest
    @CsvFileSource(resources = "wrong-settings.csv", delimiter = '|', quoteCharacter = '~')
    void reportsInvalidValueWithLineAndPath(
            String role, String original, String replacement, String path) throws Exception {
        String sample = Files.readString(SAMPLE_DIRECTORY.resolve(role + ".json"));
        assertThat(sample).contains(original);
        String changed = sample.replace(original, replacement);
        List<SettingsError> errors = expectRejected(parse(changed));
        List<SettingsError> atPath = errors.stream().filter(e -> e.path().equals(path)).toList();
        assertWithMessage("%s", errors).that(atPath).hasSize(1);
        int line = 1 + (int) changed.substring(0, changed.indexOf(replacement)).lines().count() - 1;
        assertThat(atPath.getFirst().line()).isEqualTo(line);
        assertThat(atPath.getFirst().accepted()).isNotEmpty();
    }

    @Test
    void reportsAllErrorsAtOnce() {
        List<SettingsError> errors =
                expectRejected(parse("{\"role\": \"agent\", \"dataPort\": 70000}"));
        assertThat(errors.stream().map(SettingsError::path).toList())
                .containsAtLeast("daemon", "vm", "capacity.milliCpu", "dataPort", "seeds");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            textBlock =
                    """
                    {"role": "entry",    | 1
                    []                   | 1
                    {"a": 1, "a": 2}     | 1
                    {} {}                | 1
                    {"role": entry}      | 1
                    """)
    void reportsMalformedFile(String text, int line) {
        List<SettingsError> errors = expectRejected(parse(text));
        assertThat(errors).hasSize(1);
        assertThat(errors.getFirst().line()).isEqualTo(line);
    }

    @Test
    void reportsMissingFile() {
        List<SettingsError> errors = expectRejected(SettingsReader.read(Path.of("none", "x.json")));
        assertThat(errors.getFirst().toString()).contains("cannot be read");
    }

    private static SettingsResult parse(String text) {
        return SettingsReader.parse(TEST_FILE, text.getBytes(StandardCharsets.UTF_8));
    }

    private static DaemonSettings expectAccepted(SettingsResult result) {
        return switch (result) {
            case SettingsResult.Accepted accepted -> accepted.settings();
            case SettingsResult.Rejected rejected ->
                    throw new AssertionError(rejected.errors().toString());
        };
    }

    private static List<SettingsError> expectRejected(SettingsResult result) {
        assertThat(result).isInstanceOf(SettingsResult.Rejected.class);
        return ((SettingsResult.Rejected) result).errors();
    }
}
