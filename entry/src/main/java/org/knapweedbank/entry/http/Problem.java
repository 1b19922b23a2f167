package org.knapweedbank.entry.http;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import org.knapweedbank.model.RequestOutcome;

/**
 * Problem document of RFC 9457 with the outcome of the request.
 *
 * @param status HTTP status
 * @param type last part of the problem type, such as {@code overloaded}
 * @param title short title, the same for all problems of the type
 * @param outcome what is known about the execution, with the detail as reason
 * @param retryAfter time after which a repeat is reasonable, or zero
 */
public record Problem(
        int status, String type, String title, RequestOutcome outcome, Duration retryAfter) {
    /** Media type of problem documents. */
    public static final String CONTENT_TYPE = "application/problem+json";

    /**
     * A request that was refused before anything was done for it.
     *
     * @param status HTTP status
     * @param type problem type
     * @param title title
     * @param detail reason
     * @return the problem
     */
    public static Problem notRun(int status, String type, String title, String detail) {
        return new Problem(status, type, title, new RequestOutcome.NotRun(detail), Duration.ZERO);
    }

    /**
     * A request with an invalid part.
     *
     * @param detail which part and what is accepted
     * @return the problem
     */
    public static Problem badRequest(String detail) {
        return notRun(400, "bad-request", "Bad request", detail);
    }

    /**
     * Adds the time after which a repeat is reasonable.
     *
     * @param time the time
     * @return the problem
     */
    public Problem retryAfter(Duration time) {
        return new Problem(status, type, title, outcome, time);
    }

    /**
     * The document.
     *
     * @param correlationId identifier of the request
     * @return JSON
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
