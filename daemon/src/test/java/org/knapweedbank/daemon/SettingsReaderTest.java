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

/** Guards against settings that are accepted in part and against errors reported one by one. */
class SettingsReaderTest {
    private static final Path CONF = Path.of("..", "conf");
    private static final Path FILE = Path.of("test.json");

    @Test
    void sampleFilesAreAccepted() {
        DaemonSettings entry = accepted(SettingsReader.read(CONF.resolve("entry.json")));
        assertThat(((DaemonSettings.Entry) entry).callers().port()).isEqualTo(8080);
        DaemonSettings agent = accepted(SettingsReader.read(CONF.resolve("agent.json")));
        assertThat(((DaemonSettings.Agent) agent).worker()).isEqualTo("127.0.0.1:7600");
    }

    /** Each row replaces one value of a sample file; the error has to name its line and path. */
    @ParameterizedTest
    @CsvFileSource(resources = "wrong-settings.csv", delimiter = '|', quoteCharacter = '~')
    void wrongValueIsReportedWithItsPlace(String role, String from, String to, String path)
            throws Exception {
        String sample = Files.readString(CONF.resolve(role + ".json"));
        assertThat(sample).contains(from);
        String changed = sample.replace(from, to);
        List<SettingsError> errors = rejected(parse(changed));
        List<SettingsError> atPath = errors.stream().filter(e -> e.path().equals(path)).toList();
        assertWithMessage("%s", errors).that(atPath).hasSize(1);
        int line = 1 + (int) changed.substring(0, changed.indexOf(to)).lines().count() - 1;
        assertThat(atPath.getFirst().line()).isEqualTo(line);
        assertThat(atPath.getFirst().accepted()).isNotEmpty();
    }

    @Test
    void allErrorsAreReportedAtOnce() {
        List<SettingsError> errors = rejected(parse("{\"role\": \"agent\", \"dataPort\": 70000}"));
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
    void malformedFileIsReported(String text, int line) {
        List<SettingsError> errors = rejected(parse(text));
        assertThat(errors).hasSize(1);
        assertThat(errors.getFirst().line()).isEqualTo(line);
    }

    @Test
    void missingFileIsReported() {
        List<SettingsError> errors = rejected(SettingsReader.read(Path.of("none", "x.json")));
        assertThat(errors.getFirst().toString()).contains("cannot be read");
    }

    private static SettingsResult parse(String text) {
        return SettingsReader.parse(FILE, text.getBytes(StandardCharsets.UTF_8));
    }

    private static DaemonSettings accepted(SettingsResult result) {
        return switch (result) {
            case SettingsResult.Accepted accepted -> accepted.settings();
            case SettingsResult.Rejected rejected ->
                    throw new AssertionError(rejected.errors().toString());
        };
    }

    private static List<SettingsError> rejected(SettingsResult result) {
        assertThat(result).isInstanceOf(SettingsResult.Rejected.class);
        return ((SettingsResult.Rejected) result).errors();
    }
}
