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
    private static final String DOCUMENT_START =
            "{\n\"site\": \"s\",\n\"dataCentres\": {\"a\": {\"region\": \"r\"}},\n";

    private final ConfigurationParser mParser = new ConfigurationParser();

    /** An invalid document and the error that has to be reported for it. */
    record InvalidDocument(
            String name, byte[] bytes, int line, String path, String found, String accepted) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static InvalidDocument invalidDocument(
            String name, String text, int line, String path, String found, String accepted) {
        return new InvalidDocument(name, Documents.bytes(text), line, path, found, accepted);
    }

    static Stream<InvalidDocument> faults() {
        return Stream.of(unreadableDocuments(), schemaViolations(), invalidNamesAndFields())
                .flatMap(invalidDocuments -> invalidDocuments);
    }

    private static Stream<InvalidDocument> unreadableDocuments() {
        byte[] invalid = Documents.bytes("{\n\"site\": \"?\"}");
        invalid[11] = (byte) 0xff;
        byte[] oversized = new byte[ConfigurationLimits.MAX_DOCUMENT_BYTES + 1];
        String deep = DOCUMENT_START + "\"jobs\": " + "[".repeat(40) + "]".repeat(40) + "}";
        String digits = DOCUMENT_START + "\"partitionsPerRegion\": " + "9".repeat(200) + "}";
        return Stream.of(
                invalidDocument("empty", "", 1, "$", "an empty file", "an object"),
                invalidDocument("array", "[]", 1, "$", "an array", "an object"),
                invalidDocument(
                        "truncated",
                        DOCUMENT_START + "\"teams\": {",
                        4,
                        "$.teams",
                        "Unexpected end",
                        "JSON"),
                invalidDocument("second document", "{} {}", 1, "$", "text after", "one object"),
                new InvalidDocument(
                        "invalid UTF-8", invalid, 2, "$", "byte 0xff at offset 11", "UTF-8"),
                new InvalidDocument(
                        "oversized", oversized, 0, "$", "524289 bytes", "at most 524288"),
                invalidDocument(
                        "nesting",
                        deep,
                        4,
                        "$.jobs" + "[0]".repeat(14),
                        "nesting depth",
                        "nesting up to 16"),
                invalidDocument(
                        "digits",
                        digits,
                        4,
                        "$.partitionsPerRegion",
                        "200 characters",
                        "32 digits"),
                invalidDocument(
                        "exponent",
                        DOCUMENT_START + "\"partitionsPerRegion\": 1e999999999}",
                        4,
                        "$.partitionsPerRegion",
                        "1e999999999",
                        "below 1e30"));
    }

    private static Stream<InvalidDocument> schemaViolations() {
        String team = "\"teams\": {\"t\": {\"deserved\": {\"milliCpu\": 1, \"memoryMb\": 1}, ";
        return Stream.of(
                invalidDocument(
                        "unknown field",
                        DOCUMENT_START + "\"team\": {}}",
                        4,
                        "$.team",
                        "unknown field \"team\"",
                        "site, partitionsPerRegion, vmSizes, dataCentres, services, teams, jobs"),
                invalidDocument(
                        "wrong type",
                        DOCUMENT_START + "\n\"partitionsPerRegion\": \"two\"}",
                        5,
                        "$.partitionsPerRegion",
                        "\"two\"",
                        "an integer from 1 to 64"),
                invalidDocument(
                        "fraction",
                        DOCUMENT_START + "\"partitionsPerRegion\": 1.5}",
                        4,
                        "$.partitionsPerRegion",
                        "1.5",
                        "an integer from 1 to 64"),
                invalidDocument(
                        "out of range",
                        DOCUMENT_START + team + "\n\"weight\": 0}}}",
                        5,
                        "$.teams.t.weight",
                        "0",
                        "a number above 0 up to 1000000"),
                invalidDocument(
                        "enumeration",
                        DOCUMENT_START
                                + "\"services\": {\"x\": {\"objectiveMillis\": 5,\n"
                                + "\"idempotentMethods\": [\"GET\",\n\"get\"]}}}",
                        6,
                        "$.services.x.idempotentMethods[1]",
                        "\"get\"",
                        "\"GET\", \"HEAD\""));
    }

    private static Stream<InvalidDocument> invalidNamesAndFields() {
        return Stream.of(
                invalidDocument(
                        "invalid name",
                        DOCUMENT_START + "\"teams\": {\"a b\":\n {}}}",
                        4,
                        "$.teams",
                        "a name that is refused: a b",
                        "a string that matches"),
                invalidDocument(
                        "missing field",
                        DOCUMENT_START + "\"teams\": {\n\"t\": {}}}",
                        5,
                        "$.teams.t.deserved",
                        "nothing",
                        "an object"),
                invalidDocument(
                        "repeated name",
                        DOCUMENT_START + "\"teams\": {},\n\"teams\": {}}",
                        5,
                        "$.teams",
                        "the name a second time",
                        "the first is at line 4"),
                invalidDocument(
                        "null",
                        DOCUMENT_START + "\"teams\": null}",
                        4,
                        "$.teams",
                        "null",
                        "an object"),
                invalidDocument(
                        "state of a data centre",
                        "{\"site\": \"s\", \"dataCentres\": {\"a\": {\"region\": \"r\",\n"
                                + "\"removed\": true}}}",
                        2,
                        "$.dataCentres.a.removed",
                        "unknown field",
                        "region"));
    }

    /**
     * Guards against accepting an invalid document or reporting its error at the wrong location.
     */
    @ParameterizedTest
    @MethodSource("faults")
    void reportsErrorWithLineAndAcceptedValues(InvalidDocument invalidDocument) {
        ParsedFile parsed = mParser.parseDocument("site.json", invalidDocument.bytes());

        ConfigurationError error =
                parsed.errors().stream()
                        .filter(e -> e.path().equals(invalidDocument.path()))
                        .findFirst()
                        .orElseThrow(() -> new AssertionError(parsed.errors().toString()));
        assertThat(error.file()).isEqualTo("site.json");
        assertThat(error.line()).isEqualTo(invalidDocument.line());
        assertThat(error.found()).contains(invalidDocument.found());
        assertThat(error.accepted()).contains(invalidDocument.accepted());
    }

    /** Guards against accepting a truncated document, or rejecting the complete one. */
    @Test
    void rejectsEveryTruncatedDocument() {
        byte[] whole = Documents.withWeight(1);
        int end = new String(whole, StandardCharsets.UTF_8).trim().length();
        for (int length = 0; length < end; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThat(mParser.parseDocument("part", part).isAccepted()).isFalse();
        }
        assertThat(mParser.parseDocument("whole", whole).errors()).isEmpty();
    }

    /** Guards against reporting only the first of several errors. */
    @Test
    void reportsAllErrorsAtOnce() {
        String text = DOCUMENT_START + "\"x\": 1,\n\"partitionsPerRegion\": 0,\n\"teams\": []}";
        List<ConfigurationError> errors =
                mParser.parseDocument("f", Documents.bytes(text)).errors();
        assertThat(errors.stream().map(ConfigurationError::line)).containsExactly(4, 5, 6);
        assertThat(errors.getFirst().toString())
                .isEqualTo(
                        "f:4: $.x: found unknown field \"x\"; accepted: site, partitionsPerRegion,"
                                + " vmSizes, dataCentres, services, teams, jobs");
    }

    /** Guards against rejecting comments and trailing commas. */
    @Test
    void acceptsCommentsAndTrailingCommas() {
        String text = "// head\n" + DOCUMENT_START + "/* teams\n follow */ \"teams\": {},}";
        assertThat(mParser.parseDocument("f", Documents.bytes(text)).errors()).isEmpty();
    }

    /** Guards against rejecting a base file or overlay for fields that the other file contains. */
    @Test
    void acceptsPartialFiles() {
        byte[] partial = Documents.bytes("{\"teams\": {\"t\": {\"weight\": 2}}}");
        assertThat(mParser.parseBase("base", partial).errors()).isEmpty();
        byte[] removal = Documents.bytes("{\"dataCentres\": {\"a\": null}}");
        assertThat(mParser.parseOverlay("overlay", removal).errors()).isEmpty();
        assertThat(mParser.parseBase("base", removal).errors()).hasSize(1);
    }

    /** Guards against accepting a submitted job without an identifier or with an unknown field. */
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
        byte[] encoded =
                ConfigurationCodec.encodeJson(JobDocuments.toJson(JobDocuments.toSpec(parsed)));
        assertThat(JobDocuments.toSpec(mParser.parseJob("job", encoded)))
                .isEqualTo(JobDocuments.toSpec(parsed));

        byte[] faulty = Documents.bytes(job.replace("\"id\": \"j\"", "\"name\": \"j\""));
        assertThat(mParser.parseJob("job", faulty).errors().stream().map(e -> e.path()))
                .containsExactly("$.id", "$.name");
    }
}
