package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the generation in force from a server. */
final class GenerationReader {
    private static final int NOT_FOUND = 404;

    private GenerationReader() {}

    /** Result of reading the generation in force. */
    sealed interface Result {}

    /** The generation in force; 0 with an empty document if no configuration was applied yet. */
    record Success(long generation, JsonNode document) implements Result {}

    /** The generation could not be read; the reason has already been printed. */
    record Failure(ExitCode code) implements Result {}

    static Result read(Invocation invocation) {
        ServerResponse response = invocation.server().call("GET", "/v1/config", new byte[0]);
        if (!(response instanceof ServerResponse.Received received)) {
            return new Failure(FailureReporter.reportFailedRead(invocation.output(), response));
        }
        JsonNode body = received.body();
        boolean noConfiguration =
                received.status() == NOT_FOUND
                        && body.path("type").asText().endsWith(":no-configuration");
        if (noConfiguration) {
            return new Success(0, body.path("document"));
        }
        if (!received.isSuccess()) {
            return new Failure(FailureReporter.reportFailedRead(invocation.output(), response));
        }
        if (!body.path("confirmed").asBoolean()) {
            invocation
                    .output()
                    .printMessage(
                            "the store does not respond, so the generation in force is unknown: "
                                    + body.path("reason").asText());
            return new Failure(ExitCode.UNREACHABLE);
        }
        return new Success(body.path("generation").asLong(), body.path("document"));
    }
}
