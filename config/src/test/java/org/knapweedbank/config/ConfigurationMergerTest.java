package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.model.DataCentreId;

class ConfigurationMergerTest {
    private static final String BASE =
            """
            {
              "site": "s",
              "vmSizes": {"small": {"milliCpu": 1000, "memoryMb": 1000}},
              "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}},
              "services": {"x": {"objectiveMillis": 100, "idempotentMethods": ["GET", "PUT"]}},
              "teams": {
                "t": {"deserved": {"milliCpu": 1, "memoryMb": 1}, "weight": 2, "priority": 4},
                "old": {"deserved": {"milliCpu": 1, "memoryMb": 1}}
              }
            }
            """;

    private final ConfigurationParser mParser = new ConfigurationParser();
    private final ConfigurationMerger mMerger = new ConfigurationMerger(mParser);

    private MergeResult merge(String overlay) {
        return mMerger.merge(
                mParser.parseBase("base", Documents.bytes(BASE)),
                Optional.of(mParser.parseOverlay("overlay", Documents.bytes(overlay))));
    }

    /**
     * Guards against replacing an object of the base as a whole and against concatenating arrays.
     */
    @Test
    void mergesObjectsAndReplacesArrays() {
        MergeResult merged =
                merge(
                        """
                        {"teams": {"t": {"weight": 3}, "old": null},
                         "services": {"x": {"idempotentMethods": ["GET"]}},
                         "dataCentres": {"c": {"region": "q"}}}
                        """);

        assertThat(merged.errors()).isEmpty();
        SiteConfiguration site = merged.toConfiguration(7, Set.of("b"));
        assertThat(site.generation()).isEqualTo(7);
        assertThat(site.teams().stream().map(TeamSettings::name)).containsExactly("t");
        assertThat(site.teams().getFirst().weight()).isEqualTo(3.0);
        assertThat(site.teams().getFirst().priority()).isEqualTo(4);
        assertThat(site.service("x").orElseThrow().idempotentMethods()).containsExactly("GET");
        assertThat(site.service("x").orElseThrow().defaultDeadlineMillis()).isEqualTo(10_000);
        assertThat(site.dataCentres()).hasSize(3);
        assertThat(site.dataCentresOutOfService()).containsExactly(new DataCentreId("b"));
        assertThat(ConfigurationCodec.decode(ConfigurationCodec.encode(site))).isEqualTo(site);
    }

    /** Guards against silently ignoring a removal whose name is misspelled. */
    @Test
    void warnsOfNullForAbsentField() {
        List<ConfigurationWarning> warnings = merge("{\"teams\":\n{\"odl\": null}}").warnings();
        assertThat(warnings).hasSize(1);
        assertThat(warnings.getFirst().path()).isEqualTo("$.teams.odl");
        assertThat(warnings.getFirst().line()).isEqualTo(2);
    }

    /** Guards against reporting an error of the merged document under the wrong file. */
    @Test
    void reportsErrorInTheFileThatCausesIt() {
        MergeResult merged = merge("{\"teams\": {\n\"new\": {\"weight\": 1}}}");
        assertThat(merged.errors().stream().map(ConfigurationError::toString))
                .containsExactly(
                        "overlay:2: $.teams.new.deserved: found nothing; accepted: an object");

        MergeResult removedSite = merge("{\"site\": null}");
        assertThat(removedSite.errors().getFirst().path()).isEqualTo("$.site");
    }

    /**
     * Guards against accepting jobs of unknown teams, and jobs too large for every VM size
     * silently.
     */
    @Test
    void checksTeamsAndSizesOfJobs() {
        MergeResult merged =
                merge(
                        """
                        {"jobs": {
                          "j": {"team": "t", "kind": "batch", "taskClass": "c", "command": ["x"],
                                "resources": {"milliCpu": 1001, "memoryMb": 1}},
                          "k": {"team": "nobody", "kind": "batch", "taskClass": "c",
                                "command": ["x"], "resources": {"milliCpu": 1, "memoryMb": 1}}}}
                        """);

        assertThat(merged.errors()).hasSize(1);
        assertThat(merged.errors().getFirst().path()).isEqualTo("$.jobs.k.team");
        assertThat(merged.errors().getFirst().accepted()).isEqualTo("t, old");
        assertThat(merged.warnings()).hasSize(1);
        assertThat(merged.warnings().getFirst().path()).isEqualTo("$.jobs.j.resources");
    }

    /**
     * Guards against accepting names that differ only in case, and deadlines below the objective.
     */
    @Test
    void reportsDuplicateNamesAndShortDeadlines() {
        MergeResult merged =
                merge(
                        """
                        {"dataCentres": {"A": {"region": "r"}},
                         "services": {"x": {"defaultDeadlineMillis": 99}}}
                        """);
        assertThat(merged.errors().getFirst().found()).isEqualTo("a duplicate of a");
        assertThat(merged.errors().getFirst().file()).isEqualTo("overlay");
        assertThat(merged.warnings().getFirst().path())
                .isEqualTo("$.services.x.defaultDeadlineMillis");
    }

    /** Guards against sample files that no longer match the schema. */
    @ParameterizedTest
    @ValueSource(strings = {"quito", "heredia"})
    void acceptsSampleFiles(String site) throws IOException {
        Path conf = Path.of("..", "conf");
        byte[] base = Files.readAllBytes(conf.resolve("base.json"));
        byte[] overlay = Files.readAllBytes(conf.resolve(site + ".json"));
        MergeResult merged =
                mMerger.merge(
                        mParser.parseBase("base.json", base),
                        Optional.of(mParser.parseOverlay(site + ".json", overlay)));
        assertThat(merged.errors()).isEmpty();
        assertThat(merged.warnings()).isEmpty();
        assertThat(merged.toConfiguration(1, Set.of()).site()).isEqualTo(site);
    }
}
