package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the findings in configurations; each case is an overlay over a base without findings. */
class ConfigurationFindingsTest {
    private static final Path DIRECTORY = Path.of("..", "conf");
    private static final String BASE =
            """
            {
              "site": "s",
              "vmSizes": {"small": {"milliCpu": 1000, "memoryMb": 1000, "accelerators": 1}},
              "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}},
              "services": {"x": {"objectiveMillis": 100}},
              "teams": {"t": {"deserved": {"milliCpu": 900, "memoryMb": 900, "accelerators": 2}}},
              "jobs": {"j": {"team": "t", "kind": "service", "taskClass": "x", "tasks": 2,
                             "resources": {"milliCpu": 400, "memoryMb": 400}, "command": ["c"]}}
            }
            """;

    private final ConfigurationParser mParser = new ConfigurationParser();

    private List<Finding> find(ParsedFile base, ParsedFile overlay) {
        MergeResult merged = new ConfigurationMerger(mParser).merge(base, Optional.of(overlay));
        return ConfigurationFindings.find(base, Optional.of(overlay), merged);
    }

    private List<Finding> find(String overlay) {
        return find(
                mParser.parseBase("base", Documents.bytes(BASE)),
                mParser.parseOverlay("overlay", Documents.bytes(overlay)));
    }

    private static String describe(Finding finding) {
        return finding.kind().text() + " " + finding.path();
    }

    /** Guards against passing over the mistake of an operator that the first column names. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "value of a wrong type|{'site': 4}|error $.site|found 4; accepted: a string",
                "unknown team|{'jobs': {'j': {'team': 'u'}}}"
                        + "|error $.jobs.j.team|found unknown team u; accepted: t",
                "removal of nothing|{'teams': {'u': null}}|warning $.teams.u|removes nothing",
                "deadline below objective|{'services': {'x': {'defaultDeadlineMillis': 9}}}"
                        + "|warning $.services.x.defaultDeadlineMillis|shorter than the latency",
                "size without memory|{'vmSizes': {'n': {'milliCpu': 9, 'memoryMb': 0}}}"
                        + "|no-match $.vmSizes.n|fits no task",
                "key for no method|{'services': {'x': {'requireIdempotencyKey': true,"
                        + "'idempotentMethods': ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST',"
                        + "'PATCH']}}}"
                        + "|no-match $.services.x.requireIdempotencyKey|never required",
                "quota of accelerators without such VMs|{'vmSizes': {'small': {'accelerators': 0}}}"
                        + "|no-match $.teams.t.deserved.accelerators|no declared VM size",
                "renamed service|{'services': {'x': null, 'y': {'objectiveMillis': 100}}}"
                        + "|no-match $.jobs.j.taskClass|there is no service x",
                "second spelling of a region|{'dataCentres': {'b': {'region': 'R'}},"
                        + "'teams': {'t': {'deserved': {'milliCpu': 9000, 'memoryMb': 9000}}}}"
                        + "|no-match $.dataCentres.b.region|region R differs only in case from r",
                "second spelling of a task class|{'jobs': {'k': {'team': 't', 'kind': 'batch',"
                        + "'taskClass': 'X', 'resources': {'milliCpu': 1, 'memoryMb': 1},"
                        + "'command': ['c']}}}"
                        + "|no-match $.jobs.k.taskClass|task class X differs only in case from x",
                "more partitions than accelerators|{'partitionsPerRegion': 3,"
                        + "'teams': {'t': {'deserved': {'milliCpu': 9000, 'memoryMb': 9000}}}}"
                        + "|contradiction $.teams.t.deserved.accelerators|add up to 3 instead of 2",
                "more replicas than the quota|{'jobs': {'j': {'tasks': 3}}}"
                        + "|contradiction $.teams.t.deserved|milliCpu 1200 over 900",
                "sum above an int|{'jobs': {'j': {'tasks': 50000, 'resources': {'milliCpu': 0,"
                        + "'memoryMb': 0, 'accelerators': 1}}}}"
                        + "|contradiction $.teams.t.deserved|accelerators 50000 over 2",
                "run time of a service|{'jobs': {'j': {'expectedSeconds': 5}}}"
                        + "|contradiction $.jobs.j.expectedSeconds|replicas of a service stay up",
                "task above the quota|{'jobs': {'j': {'resources': {'memoryMb': 950}}}}"
                        + "|contradiction $.jobs.j.resources|team t and never runs within"
                        + " the quota: memoryMb 950 over 900",
                "task above the quota in a partition|{'partitionsPerRegion': 2,"
                        + "'jobs': {'j': {'resources': {'memoryMb': 451}}}}"
                        + "|contradiction $.jobs.j.resources|in each of 2 partitions and never runs"
            })
    void findsMistake(String mistake, String overlay, String found, String text) {
        List<Finding> findings = find(overlay.replace('\'', '"'));
        assertThat(findings.stream().map(ConfigurationFindingsTest::describe).toList())
                .containsExactly(found);
        assertThat(findings.getFirst().text()).contains(text);
        assertThat(findings.getFirst().isError()).isEqualTo(found.startsWith("error"));
    }

    /** Guards against findings in configurations that are as intended. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "base|{}",
                "amounts equal to the quota|{'jobs': {'j': {'tasks': 1,"
                        + "'resources': {'milliCpu': 900, 'memoryMb': 900}}}}",
                "no sizes declared|{'vmSizes': null}",
                "no services declared|{'services': null}",
                "team without quota|{'teams': {'t': {'deserved': {'milliCpu': 0, 'memoryMb': 0,"
                        + "'accelerators': 0}}}}",
                "batch job above the quota in total|{'jobs': {'j': {'kind': 'batch',"
                        + "'tasks': 50, 'expectedSeconds': 5}}}",
                "key for POST and PATCH|{'services': {'x': {'requireIdempotencyKey': true}}}"
            })
    void acceptsWhatIsIntended(String configuration, String overlay) {
        assertThat(find(overlay.replace('\'', '"'))).isEmpty();
    }

    /** Guards against a wrong file or line, and a text other than that of validate. */
    @Test
    void findingsHavePlaces() {
        ParsedFile base = mParser.parseBase("base", Documents.bytes(BASE));
        String overlay =
                """
                {"teams":
                 {"u": null},
                 "jobs": {"j": {"tasks": 3}}}
                """;
        ParsedFile file = mParser.parseOverlay("overlay", Documents.bytes(overlay));
        MergeResult merged = new ConfigurationMerger(mParser).merge(base, Optional.of(file));
        List<Finding> findings = find(base, file);
        assertThat(findings.stream().map(finding -> finding.place().toString()).toList())
                .containsExactly("overlay:2", "base:6")
                .inOrder();
        assertThat(findings.getFirst().toString())
                .isEqualTo(merged.warnings().getFirst().toString());
        assertThat(findings.getFirst().toString())
                .isEqualTo(
                        "overlay:2: $.teams.u: warning: null removes nothing, as the base has no"
                                + " such field");
    }

    /**
     * Guards against findings in shipped files, which would hide those of operators. The task class
     * of the quickstart's job is not a service: nothing calls its replicas.
     */
    @ParameterizedTest
    @CsvSource({
        "quito.json, base.json, ''",
        "heredia.json, base.json, ''",
        "hiililaakso.json, base.json, ''",
        "quickstart/lowlands.json, quickstart/base.json, ''",
        "quickstart/highlands.json, quickstart/base.json,"
                + " 'no-match $.jobs.standing-ledger.taskClass'"
    })
    void shippedFilesHaveOnlyKnownFindings(String overlay, String base, String known)
            throws IOException {
        List<Finding> findings =
                find(
                        mParser.parseBase(base, Files.readAllBytes(DIRECTORY.resolve(base))),
                        mParser.parseOverlay(
                                overlay, Files.readAllBytes(DIRECTORY.resolve(overlay))));
        assertThat(findings.stream().map(ConfigurationFindingsTest::describe).toList())
                .isEqualTo(known.isEmpty() ? List.of() : List.of(known));
    }
}
