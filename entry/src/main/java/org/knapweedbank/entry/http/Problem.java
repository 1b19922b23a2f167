package org.knapweedbank.entry.http;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import org.knapweedbank.model.RequestOutcome;

/**
 * Problem document of RFC 9457, extended by the outcome of the request.
 *
 * @param status HTTP status
 * @param type last segment of the problem type URI, such as {@code overloaded}
 * @param title short summary, the same for all problems of the type
 * @param outcome whether the request was executed, as far as known; its reason is the detail
 * @param retryAfter delay for the Retry-After header, or zero to omit the header
 */
public record Problem(
        int status, String type, String title, RequestOutcome outcome, Duration retryAfter) {
    /** Media type of problem documents. */
    public static final String CONTENT_TYPE = "application/problem+json";

    /**
     * Returns the problem of a request that was rejected before any attempt.
     *
     * @param status HTTP status
     * @param type last segment of the problem type URI
     * @param title short summary
     * @param detail reason of the rejection
     * @return the problem
     */
    public static Problem notRun(int status, String type, String title, String detail) {
        return new Problem(status, type, title, new RequestOutcome.NotRun(detail), Duration.ZERO);
    }

    /**
     * Returns the problem of an invalid request.
     *
     * @param detail the invalid part and the accepted values
     * @return the problem
     */
    public static Problem badRequest(String detail) {
        return notRun(400, "bad-request", "Bad request", detail);
    }

    /**
     * Returns a copy with a Retry-After delay.
     *
     * @param delay delay after which the caller may retry
     * @return the copy
     */
    public Problem withRetryAfter(Duration delay) {
        return new Problem(status, type, title, outcome, delay);
    }

    /**
     * Encodes the problem document.
     *
     * @param correlationId correlation id of the request
     * @return the document as JSON
     */
    public String toJson(String correlationId) {
        String detail =
                switch (outcome) {
                    case RequestOutcome.Answered answered -> "";
                    case RequestOutcome.NotRun notRun -> notRun.reason();
                    case RequestOutcome.Unknown unknown -> unknown.reason();
                };
        return new JsonObject()
                .put("type", "urn:knapweedbank:problem:" + type)
                .put("title", title)
                .put("status", status)
                .put("detail", detail)
                .put("outcome", outcome.label())
                .put("correlationId", correlationId)
                .encode();
    }
}
