package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.knapweedbank.wire.OperatorReply;

/**
 * Answer to an operator.
 *
 * @param status HTTP status
 * @param body JSON body; a problem document from status 400 on
 * @param generation generation for the header {@code ETag}, or empty
 */
record OperatorAnswer(int status, byte[] body, OptionalLong generation) {
    static OperatorAnswer of(int status, ObjectNode body) {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new OperatorAnswer(status, bytes, OptionalLong.empty());
    }

    static OperatorAnswer of(OperatorReply reply) {
        return new OperatorAnswer(reply.status(), reply.body(), OptionalLong.empty());
    }

    OperatorAnswer withGeneration(long value) {
        return new OperatorAnswer(status, body, OptionalLong.of(value));
    }
}
