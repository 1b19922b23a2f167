package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Result of one request to a server. */
sealed interface ServerAnswer {
    /**
     * The server answered.
     *
     * @param status HTTP status
     * @param body JSON body
     */
    record Answered(int status, JsonNode body) implements ServerAnswer {
        boolean succeeded() {
            return status >= 200 && status < 300;
        }

        /** The detail of a problem document, or the status. */
        String detail() {
            String detail = body.path("detail").asText();
            return detail.isEmpty() ? "HTTP status " + status : detail;
        }
    }

    /** No server could be connected to; the request was not sent. */
    record NotSent(String reason) implements ServerAnswer {}

    /** The request was sent and no complete answer arrived. */
    record Lost(String reason) implements ServerAnswer {}

    /** Whether the server may have made the change without saying so. */
    default boolean outcomeUnknown() {
        return switch (this) {
            case Answered answered ->
                    answered.status() == 504
                            || answered.status() >= 500
                                    && answered.body().path("outcome").asText().equals("unknown");
            case NotSent notSent -> false;
            case Lost lost -> true;
        };
    }
}
