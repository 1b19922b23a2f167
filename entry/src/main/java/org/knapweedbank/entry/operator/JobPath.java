package org.knapweedbank.entry.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Parsed path of a job request.
 *
 * @param job identifier of the job, or empty for all jobs
 * @param explain true for {@code /v1/jobs/ID/explain}
 */
record JobPath(Optional<String> jobId, boolean explain) {
    private static final String PREFIX = "/v1/jobs";

    /**
     * Parses a path.
     *
     * @param path path with an optional query, which is ignored
     * @return the parsed path, or empty if it is not the path of a job request
     */
    static Optional<JobPath> parse(String path) {
        String pathOnly = path.split("\\?", 2)[0];
        if (!pathOnly.equals(PREFIX) && !pathOnly.startsWith(PREFIX + "/")) {
            return Optional.empty();
        }
        List<String> segments = List.of(pathOnly.substring(PREFIX.length()).split("/", -1));
        return switch (segments.size()) {
            case 1 -> Optional.of(new JobPath(Optional.empty(), false));
            case 2 -> decodeJobId(segments.get(1)).map(id -> new JobPath(Optional.of(id), false));
            case 3 ->
                    decodeJobId(segments.get(1))
                            .filter(id -> segments.get(2).equals("explain"))
                            .map(id -> new JobPath(Optional.of(id), true));
            default -> Optional.empty();
        };
    }

    private static Optional<String> decodeJobId(String encoded) {
        try {
            // URLDecoder would decode a plus sign as a space, but in a path it is a literal.
            String escaped = encoded.replace("+", "%2B");
            String id = URLDecoder.decode(escaped, StandardCharsets.UTF_8);
            return id.isEmpty() ? Optional.empty() : Optional.of(id);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
