package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.knapweedbank.config.ConfigurationError;

/** Problem documents of RFC 9457 for operators. Each states whether the change was made. */
final class OperatorProblem {
    /** The request had no effect and will have none. */
    static final String NOT_APPLIED = "not-applied";

    /** The request may have had an effect or may have one later. */
    static final String UNKNOWN = "unknown";

    private static final String TYPE_PREFIX = "urn:knapweedbank:problem:";

    private OperatorProblem() {}

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

    static OperatorAnswer badRequest(String detail) {
        return answer(400, "bad-request", "Bad request", detail, NOT_APPLIED);
    }

    static OperatorAnswer notFound(String detail) {
        return answer(404, "not-found", "Not found", detail, NOT_APPLIED);
    }

    static OperatorAnswer refused(String detail) {
        return answer(422, "refused", "Refused", detail, NOT_APPLIED);
    }

    static OperatorAnswer unavailable(String detail) {
        return answer(503, "unavailable", "Not available", detail, NOT_APPLIED);
    }

    static OperatorAnswer unknown(String detail) {
        return answer(504, "outcome-unknown", "Outcome unknown", detail, UNKNOWN);
    }

    static OperatorAnswer errors(List<ConfigurationError> errors) {
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
        return OperatorAnswer.of(422, node);
    }

    static OperatorAnswer answer(
            int status, String type, String title, String detail, String outcome) {
        return OperatorAnswer.of(status, document(status, type, title, detail, outcome));
    }
}
