package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationParserTest {
    private static final String START =
            "{\n\"site\": \"s\",\n\"dataCentres\": {\"a\": {\"region\": \"r\"}},\n";

    private final ConfigurationParser mParser = new ConfigurationParser();

    /** A faulty document and the error that has to be reported for it. */
    record Fault(String name, byte[] bytes, int line, String path, String found, String accepted) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Fault fault(
            String name, String text, int line, String path, String found, String accepted) {
        return new Fault(name, Documents.bytes(text), line, path, found, accepted);
    }

    static Stream<Fault> faults() {
        return Stream.of(unreadable(), refused(), misplaced()).flatMap(faults -> faults);
    }

    private static Stream<Fault> unreadable() {
        byte[] invalid = Documents.bytes("{\n\"site\": \"?\"}");
        invalid[11] = (byte) 0xff;
        byte[] oversized = new byte[ConfigurationLimits.MAX_BYTES + 1];
        String deep = START + "\"jobs\": " + "[".repeat(40) + "]".repeat(40) + "}";
        String digits = START + "\"partitionsPerRegion\": " + "9".repeat(200) + "}";
        return Stream.of(
                fault("empty", "", 1, "$", "an empty file", "an object"),
                fault("array", "[]", 1, "$", "an array", "an object"),
                fault("truncated", START + "\"teams\": {", 4, "$.teams", "Unexpected end", "JSON"),
                fault("second document", "{} {}", 1, "$", "text after", "one object"),
                new Fault("invalid UTF-8", invalid, 2, "$", "byte 0xff at offset 11", "UTF-8"),
                new Fault("oversized", oversized, 0, "$", "524289 bytes", "at most 524288"),
                fault(
                        "nesting",
                        deep,
                        4,
                        "$.jobs" + "[0]".repeat(14),
                        "nesting depth",
                        "nesting up to 16"),
                fault("digits", digits, 4, "$.partitionsPerRegion", "200 characters", "32 digits"),
                fault(
                        "exponent",
                        START + "\"partitionsPerRegion\": 1e999999999}",
                        4,
                        "$.partitionsPerRegion",
                        "1e999999999",
                        "below 1e30"));
    }

    private static Stream<Fault> refused() {
        String team = "\"teams\": {\"t\": {\"deserved\": {\"milliCpu\": 1, \"memoryMb\": 1}, ";
        return Stream.of(
                fault(
                        "unknown field",
                        START + "\"team\": {}}",
                        4,
                        "$.team",
                        "unknown field \"team\"",
                        "site, partitionsPerRegion, vmSizes, dataCentres, services, teams, jobs"),
                fault(
                        "wrong type",
                        START + "\n\"partitionsPerRegion\": \"two\"}",
                        5,
                        "$.partitionsPerRegion",
                        "\"two\"",
                        "an integer from 1 to 64"),
                fault(
                        "fraction",
                        START + "\"partitionsPerRegion\": 1.5}",
                        4,
                        "$.partitionsPerRegion",
                        "1.5",
                        "an integer from 1 to 64"),
                fault(
                        "out of range",
                        START + team + "\n\"weight\": 0}}}",
                        5,
                        "$.teams.t.weight",
                        "0",
                        "a number above 0 up to 1000000"),
                fault(
                        "enumeration",
                        START
                                + "\"services\": {\"x\": {\"objectiveMillis\": 5,\n"
                                + "\"idempotentMethods\": [\"GET\",\n\"get\"]}}}",
                        6,
                        "$.services.x.idempotentMethods[1]",
                        "\"get\"",
                        "\"GET\", \"HEAD\""));
    }

    private static Stream<Fault> misplaced() {
        return Stream.of(
                fault(
                        "refused name",
                        START + "\"teams\": {\"a b\":\n {}}}",
                        4,
                        "$.teams",
                        "a name that is refused: a b",
                        "a string that matches"),
                fault(
                        "missing field",
                        START + "\"teams\": {\n\"t\": {}}}",
                        5,
                        "$.teams.t.deserved",
                        "nothing",
                        "an object"),
                fault(
                        "repeated name",
                        START + "\"teams\": {},\n\"teams\": {}}",
                        5,
                        "$.teams",
                        "the name a second time",
                        "the first is at line 4"),
                fault("null", START + "\"teams\": null}", 4, "$.teams", "null", "an object"),
                fault(
                        "removed state",
                        "{\"site\": \"s\", \"dataCentres\": {\"a\": {\"region\": \"r\",\n"
                                + "\"removed\": true}}}",
                        2,
                        "$.dataCentres.a.removed",
                        "unknown field",
                        "region"));
    }

    /** Guards against a faulty document being accepted or reported at the wrong place. */
    @ParameterizedTest
    @MethodSource("faults")
    void reportsFaultWithPlaceAndAcceptedValues(Fault fault) {
        ParsedFile parsed = mParser.parseDocument("site.json", fault.bytes());

        ConfigurationError error =
                parsed.errors().stream()
                        .filter(e -> e.path().equals(fault.path()))
                        .findFirst()
                        .orElseThrow(() -> new AssertionError(parsed.errors().toString()));
        assertThat(error.file()).isEqualTo("site.json");
        assertThat(error.line()).isEqualTo(fault.line());
        assertThat(error.found()).contains(fault.found());
        assertThat(error.accepted()).contains(fault.accepted());
    }

    /** Guards against every prefix of a document but the whole being accepted, or failing. */
    @Test
    void refusesEveryTruncation() {
        byte[] whole = Documents.withWeight(1);
        int end = new String(whole, StandardCharsets.UTF_8).trim().length();
        for (int length = 0; length < end; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThat(mParser.parseDocument("part", part).isAccepted()).isFalse();
        }
        assertThat(mParser.parseDocument("whole", whole).errors()).isEmpty();
    }

    /** Guards against only the first of several errors being reported. */
    @Test
    void reportsAllErrorsAtOnce() {
        String text = START + "\"x\": 1,\n\"partitionsPerRegion\": 0,\n\"teams\": []}";
        List<ConfigurationError> errors =
                mParser.parseDocument("f", Documents.bytes(text)).errors();
        assertThat(errors.stream().map(ConfigurationError::line)).containsExactly(4, 5, 6);
        assertThat(errors.getFirst().toString())
                .isEqualTo(
                        "f:4: $.x: found unknown field \"x\"; accepted: site, partitionsPerRegion,"
                                + " vmSizes, dataCentres, services, teams, jobs");
    }

    /** Guards against comments and trailing commas being refused. */
    @Test
    void acceptsCommentsAndTrailingCommas() {
        String text = "// head\n" + START + "/* teams\n follow */ \"teams\": {},}";
        assertThat(mParser.parseDocument("f", Documents.bytes(text)).errors()).isEmpty();
    }

    /** Guards against a partial base or overlay being refused for what the other file holds. */
    @Test
    void acceptsPartialFiles() {
        byte[] partial = Documents.bytes("{\"teams\": {\"t\": {\"weight\": 2}}}");
        assertThat(mParser.parseBase("base", partial).errors()).isEmpty();
        byte[] removal = Documents.bytes("{\"dataCentres\": {\"a\": null}}");
        assertThat(mParser.parseOverlay("overlay", removal).errors()).isEmpty();
        assertThat(mParser.parseBase("base", removal).errors()).hasSize(1);
    }

    /** Guards against a submitted job without an identifier, or with an unknown field. */
    @Test
    void checksSubmittedJobs() {
        String job =
                """
                {"id": "j", "team": "t", "kind": "batch", "taskClass": "c", "urgent": true,
                 "resources": {"milliCpu": 100, "memoryMb": 20}, "command": ["run", "x"]}
                """;
        ParsedFile parsed = mParser.parseJob("job", Documents.bytes(job));
        assertThat(parsed.errors()).isEmpty();
        assertThat(JobDocuments.toSpec(parsed).maxAttempts()).isEqualTo(3);
        byte[] encoded = ConfigurationCodec.bytes(JobDocuments.toJson(JobDocuments.toSpec(parsed)));
        assertThat(JobDocuments.toSpec(mParser.parseJob("job", encoded)))
                .isEqualTo(JobDocuments.toSpec(parsed));

        byte[] faulty = Documents.bytes(job.replace("\"id\": \"j\"", "\"name\": \"j\""));
        assertThat(mParser.parseJob("job", faulty).errors().stream().map(e -> e.path()))
                .containsExactly("$.id", "$.name");
    }
}
