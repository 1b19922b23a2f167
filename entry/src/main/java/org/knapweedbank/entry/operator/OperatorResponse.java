package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.knapweedbank.wire.OperatorReply;

/**
 * HTTP response to an operator.
 *
 * @param status HTTP status
 * @param body JSON body; a problem document if the status is 400 or above
 * @param generation configuration generation for the {@code ETag} header, or empty
 */
record OperatorResponse(int status, byte[] body, OptionalLong generation) {
    static OperatorResponse of(int status, ObjectNode body) {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new OperatorResponse(status, bytes, OptionalLong.empty());
    }

    static OperatorResponse of(OperatorReply reply) {
        return new OperatorResponse(reply.status(), reply.body(), OptionalLong.empty());
    }

    OperatorResponse withGeneration(long value) {
        return new OperatorResponse(status, body, OptionalLong.of(value));
    }
}
