package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.knapweedbank.config.ConfigurationError;

/**
 * Problem documents of RFC 9457 for operators, extended by an outcome that states whether the
 * request took effect.
 */
final class OperatorProblem {
    /** Outcome of a request that had no effect and will have none. */
    static final String NOT_APPLIED = "not-applied";

    /** Outcome of a request that may have had an effect or may still have one. */
    static final String UNKNOWN = "unknown";

    private static final String TYPE_PREFIX = "urn:knapweedbank:problem:";

    private OperatorProblem() {}

    /** Returns a problem document, to which the caller may add members. */
    static ObjectNode document(
            int status, String type, String title, String detail, String outcome) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("type", TYPE_PREFIX + type);
        node.put("title", title);
        node.put("status", status);
        node.put("detail", detail);
        node.put("outcome", outcome);
        return node;
    }

    static OperatorResponse badRequest(String detail) {
        return response(400, "bad-request", "Bad request", detail, NOT_APPLIED);
    }

    static OperatorResponse notFound(String detail) {
        return response(404, "not-found", "Not found", detail, NOT_APPLIED);
    }

    static OperatorResponse refused(String detail) {
        return response(422, "refused", "Refused", detail, NOT_APPLIED);
    }

    static OperatorResponse unavailable(String detail) {
        return response(503, "unavailable", "Not available", detail, NOT_APPLIED);
    }

    static OperatorResponse unknown(String detail) {
        return response(504, "outcome-unknown", "Outcome unknown", detail, UNKNOWN);
    }

    /** Returns status 422 with the errors of a rejected configuration or job document. */
    static OperatorResponse invalidDocument(List<ConfigurationError> errors) {
        String detail = errors.size() == 1 ? "1 error" : errors.size() + " errors";
        ObjectNode node = document(422, "refused", "Refused", detail, NOT_APPLIED);
        for (ConfigurationError error : errors) {
            node.withArray("errors")
                    .addObject()
                    .put("file", error.file())
                    .put("line", error.line())
                    .put("path", error.path())
                    .put("found", error.found())
                    .put("accepted", error.accepted());
        }
        return OperatorResponse.of(422, node);
    }

    static OperatorResponse response(
            int status, String type, String title, String detail, String outcome) {
        return OperatorResponse.of(status, document(status, type, title, detail, outcome));
    }
}
