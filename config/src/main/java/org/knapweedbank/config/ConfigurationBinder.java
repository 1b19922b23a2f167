package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;

/**
 * Converts checked JSON documents to configuration records. Unknown fields are ignored, so that a
 * document written by a newer version can be read.
 */
final class ConfigurationBinder {
    private ConfigurationBinder() {}

    static SiteConfiguration bind(JsonNode document, long generation, Set<String> removed) {
        return new SiteConfiguration(
                generation,
                document.path("site").asText(),
                document.path("partitionsPerRegion")
                        .asInt(ConfigurationDefaults.PARTITIONS_PER_REGION),
                mapFields(
                        document.path("dataCentres"),
                        (name, dc) -> toDataCentre(name, dc, removed)),
                toServices(document),
                mapFields(document.path("teams"), ConfigurationBinder::toTeam),
                mapFields(document.path("jobs"), ConfigurationBinder::toJob));
    }

    static List<ServiceSettings> toServices(JsonNode document) {
        return mapFields(document.path("services"), ConfigurationBinder::toService);
    }

    static Resources toResources(JsonNode node) {
        return new Resources(
                node.path("milliCpu").asLong(),
                node.path("memoryMb").asLong(),
                node.path("accelerators").asInt(0));
    }

    static JobSpec toJob(String id, JsonNode job) {
        return new JobSpec(
                new JobId(id),
                job.path("team").asText(),
                job.path("kind").asText().equals("service") ? JobKind.SERVICE : JobKind.BATCH,
                job.path("taskClass").asText(),
                job.path("tasks").asInt(ConfigurationDefaults.TASKS_PER_JOB),
                toResources(job.path("resources")),
                job.path("priority").asInt(0),
                job.path("urgent").asBoolean(false),
                job.path("expectedSeconds").asLong(0),
                job.path("maxAttempts").asInt(ConfigurationDefaults.MAX_ATTEMPTS),
                toStrings(job.path("command")));
    }

    private static DataCentreSettings toDataCentre(
            String name, JsonNode node, Set<String> removed) {
        String region = node.path("region").asText();
        return new DataCentreSettings(new DataCentreId(name), region, removed.contains(name));
    }

    private static ServiceSettings toService(String name, JsonNode node) {
        List<String> methods =
                node.has("idempotentMethods")
                        ? toStrings(node.path("idempotentMethods"))
                        : ConfigurationDefaults.IDEMPOTENT_METHODS;
        return new ServiceSettings(
                name,
                node.path("objectiveMillis").asLong(),
                node.path("defaultDeadlineMillis")
                        .asLong(ConfigurationDefaults.DEFAULT_DEADLINE_MILLIS),
                node.path("maxConcurrent").asInt(ConfigurationDefaults.MAX_CONCURRENT_REQUESTS),
                new LinkedHashSet<>(methods),
                node.path("requireIdempotencyKey").asBoolean(false));
    }

    private static TeamSettings toTeam(String name, JsonNode node) {
        return new TeamSettings(
                name,
                toResources(node.path("deserved")),
                node.path("weight").asDouble(ConfigurationDefaults.TEAM_WEIGHT),
                node.path("priority").asInt(0));
    }

    private static List<String> toStrings(JsonNode array) {
        List<String> strings = new ArrayList<>();
        array.forEach(item -> strings.add(item.asText()));
        return strings;
    }

    private static <T> List<T> mapFields(
            JsonNode object, BiFunction<String, JsonNode, T> converter) {
        return object.properties().stream()
                .map((Map.Entry<String, JsonNode> e) -> converter.apply(e.getKey(), e.getValue()))
                .toList();
    }
}
