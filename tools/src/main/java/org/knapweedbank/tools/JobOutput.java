package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Prints jobs. */
final class JobOutput {
    static final String[] FIELDS = {
        "id", "team", "kind", "state", "tasks", "running", "finished", "failed", "reason"
    };

    private JobOutput() {}

    static void print(Output output, JsonNode job) {
        if (output.isJson()) {
            output.json(job);
        } else {
            output.table(List.of(job), FIELDS);
        }
    }

    static String encode(String id) {
        return URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
