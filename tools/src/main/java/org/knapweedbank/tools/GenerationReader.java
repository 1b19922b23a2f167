package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the generation in force. */
final class GenerationReader {
    private static final int NOT_FOUND = 404;

    private GenerationReader() {}

    /** Result of a reading. */
    sealed interface Reading {}

    /** The generation in force; 0 with an empty document before the first. */
    record Known(long generation, JsonNode document) implements Reading {}

    /** It could not be read; the reason has been printed. */
    record Failed(ExitCode code) implements Reading {}

    static Reading read(Invocation invocation) {
        ServerAnswer answer = invocation.server().call("GET", "/v1/config", new byte[0]);
        if (!(answer instanceof ServerAnswer.Answered answered)) {
            return new Failed(Answers.failedRead(invocation.output(), answer));
        }
        JsonNode body = answered.body();
        boolean none =
                answered.status() == NOT_FOUND
                        && body.path("type").asText().endsWith(":no-configuration");
        if (none) {
            return new Known(0, body.path("document"));
        }
        if (!answered.succeeded()) {
            return new Failed(Answers.failedRead(invocation.output(), answer));
        }
        if (!body.path("confirmed").asBoolean()) {
            invocation
                    .output()
                    .message(
                            "the store does not answer, so the generation in force is not known: "
                                    + body.path("reason").asText());
            return new Failed(ExitCode.UNREACHABLE);
        }
        return new Known(body.path("generation").asLong(), body.path("document"));
    }
}
