package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Result of a request to a server. */
sealed interface ServerResponse {
    /**
     * A complete response was received.
     *
     * @param status HTTP status code
     * @param body JSON body; an empty object if the body is empty
     */
    record Received(int status, JsonNode body) implements ServerResponse {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /** Returns the detail of a problem document, or the status if there is none. */
        String detail() {
            String detail = body.path("detail").asText();
            return detail.isEmpty() ? "HTTP status " + status : detail;
        }
    }

    /** No connection could be established; the request was not sent. */
    record NotSent(String reason) implements ServerResponse {}

    /** The request was sent, but no complete and valid response was received. */
    record Lost(String reason) implements ServerResponse {}

    /** Returns whether the server may have made the change although it did not confirm it. */
    default boolean isOutcomeUnknown() {
        return switch (this) {
            case Received received ->
                    received.status() == 504
                            || received.status() >= 500
                                    && received.body().path("outcome").asText().equals("unknown");
            case NotSent notSent -> false;
            case Lost lost -> true;
        };
    }
}
