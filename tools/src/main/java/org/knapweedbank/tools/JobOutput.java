package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Prints jobs and encodes their identifiers in paths. */
final class JobOutput {
    static final String[] JOB_FIELDS = {
        "id", "team", "kind", "state", "tasks", "running", "finished", "failed", "reason"
    };

    private JobOutput() {}

    static void print(Output output, JsonNode job) {
        if (output.isJson()) {
            output.printJson(job);
        } else {
            output.printTable(List.of(job), JOB_FIELDS);
        }
    }

    static String encodePathSegment(String id) {
        return URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
