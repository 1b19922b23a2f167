package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.knapweedbank.model.Resources;

/** Checks of a merged document that span several of its parts. */
final class ConfigurationChecker {
    private final ObjectNode mDocument;
    private final Places mPlaces;
    private final List<ConfigurationError> mErrors;
    private final List<ConfigurationWarning> mWarnings;

    ConfigurationChecker(
            ObjectNode document,
            Places places,
            List<ConfigurationError> errors,
            List<ConfigurationWarning> warnings) {
        mDocument = document;
        mPlaces = places;
        mErrors = errors;
        mWarnings = warnings;
    }

    void check() {
        for (String section : List.of("vmSizes", "dataCentres", "services", "teams", "jobs")) {
            checkNames(section);
        }
        checkJobs();
        checkServices();
    }

    /** Names that differ only in case are taken for one name by people and some file systems. */
    private void checkNames(String section) {
        Map<String, String> seen = new HashMap<>();
        mDocument
                .path(section)
                .fieldNames()
                .forEachRemaining(
                        name -> {
                            String other = seen.putIfAbsent(name.toLowerCase(Locale.ROOT), name);
                            if (other != null) {
                                mErrors.add(
                                        mPlaces.error(
                                                path(section, name),
                                                "a duplicate of " + other,
                                                "names that differ in more than case"));
                            }
                        });
    }

    private void checkJobs() {
        List<Resources> sizes = new ArrayList<>();
        mDocument.path("vmSizes").forEach(size -> sizes.add(ConfigurationBinder.resources(size)));
        mDocument
                .path("jobs")
                .properties()
                .forEach(job -> checkJob(job.getKey(), job.getValue(), sizes));
    }

    private void checkJob(String name, JsonNode job, List<Resources> sizes) {
        String path = path("jobs", name);
        String team = job.path("team").asText();
        if (!mDocument.path("teams").has(team)) {
            mErrors.add(mPlaces.error(path + ".team", "unknown team " + team, teams()));
        }
        Resources resources = ConfigurationBinder.resources(job.path("resources"));
        if (!sizes.isEmpty() && sizes.stream().noneMatch(resources::fitsIn)) {
            String message = "a task of the job fits on no declared VM size: " + resources;
            mWarnings.add(mPlaces.warning(path + ".resources", message));
        }
    }

    private void checkServices() {
        for (ServiceSettings service : ConfigurationBinder.services(mDocument)) {
            if (service.defaultDeadlineMillis() < service.objectiveMillis()) {
                String message = "the default deadline is shorter than the latency objective";
                String path = path("services", service.name()) + ".defaultDeadlineMillis";
                mWarnings.add(mPlaces.warning(path, message));
            }
        }
    }

    private String teams() {
        StringJoiner joiner = new StringJoiner(", ");
        joiner.setEmptyValue("a team of the section teams, which is empty");
        mDocument.path("teams").fieldNames().forEachRemaining(joiner::add);
        return joiner.toString();
    }

    private static String path(String section, String name) {
        return JsonPaths.field(JsonPaths.field(JsonPaths.ROOT, section), name);
    }
}
