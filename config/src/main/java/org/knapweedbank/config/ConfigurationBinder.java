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
 * Converts checked documents to settings. Unknown fields are passed over, so that a document of a
 * newer version can be read.
 */
final class ConfigurationBinder {
    private ConfigurationBinder() {}

    static SiteConfiguration bind(JsonNode document, long generation, Set<String> removed) {
        return new SiteConfiguration(
                generation,
                document.path("site").asText(),
                document.path("partitionsPerRegion")
                        .asInt(ConfigurationDefaults.PARTITIONS_PER_REGION),
                list(document.path("dataCentres"), (name, dc) -> dataCentre(name, dc, removed)),
                services(document),
                list(document.path("teams"), ConfigurationBinder::team),
                list(document.path("jobs"), ConfigurationBinder::job));
    }

    static List<ServiceSettings> services(JsonNode document) {
        return list(document.path("services"), ConfigurationBinder::service);
    }

    static Resources resources(JsonNode node) {
        return new Resources(
                node.path("milliCpu").asLong(),
                node.path("memoryMb").asLong(),
                node.path("accelerators").asInt(0));
    }

    static JobSpec job(String id, JsonNode job) {
        return new JobSpec(
                new JobId(id),
                job.path("team").asText(),
                job.path("kind").asText().equals("service") ? JobKind.SERVICE : JobKind.BATCH,
                job.path("taskClass").asText(),
                job.path("tasks").asInt(ConfigurationDefaults.TASKS),
                resources(job.path("resources")),
                job.path("priority").asInt(0),
                job.path("urgent").asBoolean(false),
                job.path("expectedSeconds").asLong(0),
                job.path("maxAttempts").asInt(ConfigurationDefaults.MAX_ATTEMPTS),
                texts(job.path("command")));
    }

    private static DataCentreSettings dataCentre(String name, JsonNode node, Set<String> removed) {
        String region = node.path("region").asText();
        return new DataCentreSettings(new DataCentreId(name), region, removed.contains(name));
    }

    private static ServiceSettings service(String name, JsonNode node) {
        List<String> methods =
                node.has("idempotentMethods")
                        ? texts(node.path("idempotentMethods"))
                        : ConfigurationDefaults.IDEMPOTENT_METHODS;
        return new ServiceSettings(
                name,
                node.path("objectiveMillis").asLong(),
                node.path("defaultDeadlineMillis").asLong(ConfigurationDefaults.DEADLINE_MILLIS),
                node.path("maxConcurrent").asInt(ConfigurationDefaults.MAX_CONCURRENT),
                new LinkedHashSet<>(methods),
                node.path("requireIdempotencyKey").asBoolean(false));
    }

    private static TeamSettings team(String name, JsonNode node) {
        return new TeamSettings(
                name,
                resources(node.path("deserved")),
                node.path("weight").asDouble(ConfigurationDefaults.WEIGHT),
                node.path("priority").asInt(0));
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(item -> texts.add(item.asText()));
        return texts;
    }

    private static <T> List<T> list(JsonNode object, BiFunction<String, JsonNode, T> function) {
        return object.properties().stream()
                .map((Map.Entry<String, JsonNode> e) -> function.apply(e.getKey(), e.getValue()))
                .toList();
    }
}
