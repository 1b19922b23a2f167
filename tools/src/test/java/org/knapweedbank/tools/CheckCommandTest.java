package org.knapweedbank.tools;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the command that checks files; its findings are tested in the module config. */
class CheckCommandTest {
    private static final String IN_FORCE =
            """
            {"site": "s", "dataCentres": {"a": {"region": "r"}},
             "services": {"x": {"objectiveMillis": 100}}}
            """;
    private static final String WITH_WARNINGS =
            """
            {"services": {"x": {"objectiveMillis": 200, "defaultDeadlineMillis": 150}},
             "dataCentres": {"b": {"region": "R"}}}
            """;

    private final ClientFixture mClient = new ClientFixture();
    private final FakeServer mServer = new FakeServer();
    @TempDir private Path mDirectory;
    private String mBase;

    @BeforeEach
    void writeBase() throws IOException {
        mBase = write("base.json", IN_FORCE);
    }

    @AfterEach
    void closeServer() {
        mServer.close();
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    private void prepareGeneration() {
        mServer.prepareResponse(
                200,
                "{\"generation\": 7, \"confirmed\": true, \"document\": %s}".formatted(IN_FORCE));
    }

    /** Guards against a change that is held back for warnings, or whose errors pass. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{}|DONE|0 errors, 0 warnings",
                "{\"dataCentres\": {\"b\": {\"region\": \"R\"}}}|DONE|0 errors, 1 warnings",
                "{\"site\": 4, \"services\": {\"x\": 5}}|REFUSED|2 errors, 0 warnings",
                "{\"site\": |REFUSED|1 errors, 0 warnings"
            })
    void onlyErrorsChangeTheExitCode(String overlay, ExitCode code, String summary)
            throws IOException {
        String file = write("overlay.json", overlay);
        assertThat(mClient.run("check", mBase, file)).isEqualTo(code);
        assertThat(mClient.out().strip()).isEqualTo(summary);
    }

    /** Guards against messages of check that differ from those of validate on the same mistake. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"site\": 4, \"services\": {\"x\": {\"objectiveMillis\": 0}}}",
                "{\"teams\": {\"u\": null}, \"services\": {\"x\": {\"defaultDeadlineMillis\": 9}}}"
            })
    void keepsMessagesOfValidate(String overlay) throws IOException {
        String file = write("overlay.json", overlay);
        mClient.run("validate", mBase, file);
        String messages = mClient.err();
        mClient.run("check", mBase, file);
        assertThat(messages.lines().count()).isEqualTo(2);
        assertThat(mClient.err()).isEqualTo(messages);
    }

    /** Guards against JSON without the kind or the place of a finding, or the differences. */
    @Test
    void printsFindingsAndDifferencesAsJson() throws IOException {
        String overlay = write("overlay.json", WITH_WARNINGS);
        prepareGeneration();
        assertThat(
                        mClient.run(
                                "check",
                                mBase,
                                overlay,
                                "--against",
                                mServer.address(),
                                "--output",
                                "json"))
                .isEqualTo(ExitCode.DONE);
        JsonNode result = new ObjectMapper().readTree(mClient.out());
        assertThat(result.path("accepted").asBoolean()).isTrue();
        assertThat(result.path("findings").findValuesAsText("kind"))
                .containsExactly("warning", "no-match")
                .inOrder();
        assertThat(result.at("/findings/1/file").asText()).isEqualTo(overlay);
        assertThat(result.at("/findings/1/line").asInt()).isEqualTo(2);
        assertThat(result.at("/findings/1/path").asText()).isEqualTo("$.dataCentres.b.region");
        assertThat(result.at("/findings/1/text").asText()).startsWith("region R differs");
        assertThat(result.path("generation").asInt()).isEqualTo(7);
        assertThat(result.path("differences").findValuesAsText("path"))
                .containsExactly(
                        "$.dataCentres.b",
                        "$.services.x.defaultDeadlineMillis",
                        "$.services.x.objectiveMillis");
    }

    /** Guards against a comparison that ignores where the other version is. */
    @ParameterizedTest
    @CsvSource({"address", "server", "file"})
    void comparesWithOtherVersion(String kind) throws IOException {
        String overlay = write("overlay.json", WITH_WARNINGS);
        String other = write("other.json", IN_FORCE);
        prepareGeneration();
        String target =
                switch (kind) {
                    case "address" -> mServer.address();
                    case "file" -> other;
                    default -> kind;
                };
        String configured = kind.equals("address") ? "127.0.0.1:1" : mServer.address();
        assertThat(
                        mClient.run(
                                "check",
                                mBase,
                                overlay,
                                "--against",
                                target,
                                "--server",
                                configured))
                .isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests()).hasSize(kind.equals("file") ? 0 : 1);
        assertThat(mClient.out())
                .contains(
                        (kind.equals("file") ? "compared with " + other : "generation 7 in force")
                                + "; 3 differences");
        assertThat(mClient.out()).contains("~ $.services.x.objectiveMillis: 100 -> 200");
    }

    /**
     * Guards against the exit code of a complete check if the other version was not read, and
     * against a comparison with a file that is only part of a configuration.
     */
    @Test
    void reportsOtherVersionThatCannotBeRead() throws IOException {
        String overlay = write("overlay.json", WITH_WARNINGS);
        assertThat(mClient.run("check", mBase, overlay, "--against", "127.0.0.1:1"))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(mClient.err()).contains("no server answered");
        assertThat(mClient.out()).contains("0 errors, 2 warnings");

        String faulty = write("faulty.json", "{\n\"site\": 4}");
        assertThat(mClient.run("check", mBase, "--against", faulty)).isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("faulty.json:2: $.site");

        String incomplete = write("incomplete.json", "{\"site\": \"s\"}");
        assertThat(mClient.run("check", mBase, "--against", incomplete))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("$.dataCentres: found nothing");

        assertThat(mClient.run("check", faulty, "--against", mServer.address()))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(mServer.requests()).isEmpty();
    }

    /** Guards against a comparison that is left out because its target is misspelt or missing. */
    @ParameterizedTest
    @CsvSource({"/nonexistent, an existing file", "server, no server", "host, HOST:PORT"})
    void rejectsInvalidTarget(String target, String message) {
        assertThat(mClient.run("check", mBase, "--against", target)).isEqualTo(ExitCode.USAGE);
        assertThat(mClient.err()).contains(message);
    }
}
