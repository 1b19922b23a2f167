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

/** Checks a merged document for errors that involve more than one of its values. */
final class ConfigurationChecker {
    private final ObjectNode mDocument;
    private final SourceLocations mLocations;
    private final List<ConfigurationError> mErrors;
    private final List<ConfigurationWarning> mWarnings;

    ConfigurationChecker(
            ObjectNode document,
            SourceLocations locations,
            List<ConfigurationError> errors,
            List<ConfigurationWarning> warnings) {
        mDocument = document;
        mLocations = locations;
        mErrors = errors;
        mWarnings = warnings;
    }

    void check() {
        for (String section : List.of("vmSizes", "dataCentres", "services", "teams", "jobs")) {
            checkCaseInsensitiveDuplicates(section);
        }
        checkJobs();
        checkServices();
    }

    /** Rejects names that differ only in case, as people and some file systems confuse them. */
    private void checkCaseInsensitiveDuplicates(String section) {
        Map<String, String> seenNames = new HashMap<>();
        mDocument
                .path(section)
                .fieldNames()
                .forEachRemaining(
                        name -> {
                            String earlierName =
                                    seenNames.putIfAbsent(name.toLowerCase(Locale.ROOT), name);
                            if (earlierName != null) {
                                mErrors.add(
                                        mLocations.errorAt(
                                                JsonPaths.entry(section, name),
                                                "a duplicate of " + earlierName,
                                                "names that differ in more than case"));
                            }
                        });
    }

    private void checkJobs() {
        List<Resources> sizes = new ArrayList<>();
        mDocument.path("vmSizes").forEach(size -> sizes.add(ConfigurationBinder.toResources(size)));
        mDocument
                .path("jobs")
                .properties()
                .forEach(job -> checkJob(job.getKey(), job.getValue(), sizes));
    }

    private void checkJob(String name, JsonNode job, List<Resources> sizes) {
        String path = JsonPaths.entry("jobs", name);
        String team = job.path("team").asText();
        if (!mDocument.path("teams").has(team)) {
            mErrors.add(
                    mLocations.errorAt(path + ".team", "unknown team " + team, joinTeamNames()));
        }
        Resources resources = ConfigurationBinder.toResources(job.path("resources"));
        if (!sizes.isEmpty() && sizes.stream().noneMatch(resources::fitsIn)) {
            String message = "a task of the job fits on no declared VM size: " + resources;
            mWarnings.add(mLocations.warningAt(path + ".resources", message));
        }
    }

    private void checkServices() {
        for (ServiceSettings service : ConfigurationBinder.toServices(mDocument)) {
            if (service.defaultDeadlineMillis() < service.objectiveMillis()) {
                String message = "the default deadline is shorter than the latency objective";
                String path =
                        JsonPaths.entry("services", service.name()) + ".defaultDeadlineMillis";
                mWarnings.add(mLocations.warningAt(path, message));
            }
        }
    }

    private String joinTeamNames() {
        StringJoiner joiner = new StringJoiner(", ");
        joiner.setEmptyValue("a team of the section teams, which is empty");
        mDocument.path("teams").fieldNames().forEachRemaining(joiner::add);
        return joiner.toString();
    }
}
