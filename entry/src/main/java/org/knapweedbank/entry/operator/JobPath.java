package org.knapweedbank.entry.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Path of a request about jobs.
 *
 * @param job identifier of the job, or empty for all jobs
 * @param explain true for {@code /v1/jobs/ID/explain}
 */
record JobPath(Optional<String> job, boolean explain) {
    private static final String PREFIX = "/v1/jobs";

    /** Parses a path with an optional query; empty when it is not about jobs. */
    static Optional<JobPath> parse(String path) {
        String plain = path.split("\\?", 2)[0];
        if (!plain.equals(PREFIX) && !plain.startsWith(PREFIX + "/")) {
            return Optional.empty();
        }
        List<String> parts = List.of(plain.substring(PREFIX.length()).split("/", -1));
        return switch (parts.size()) {
            case 1 -> Optional.of(new JobPath(Optional.empty(), false));
            case 2 -> job(parts.get(1)).map(id -> new JobPath(Optional.of(id), false));
            case 3 ->
                    job(parts.get(1))
                            .filter(id -> parts.get(2).equals("explain"))
                            .map(id -> new JobPath(Optional.of(id), true));
            default -> Optional.empty();
        };
    }

    private static Optional<String> job(String encoded) {
        try {
            // A plus sign stands for itself in a path.
            String plain = encoded.replace("+", "%2B");
            String id = URLDecoder.decode(plain, StandardCharsets.UTF_8);
            return id.isEmpty() ? Optional.empty() : Optional.of(id);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
