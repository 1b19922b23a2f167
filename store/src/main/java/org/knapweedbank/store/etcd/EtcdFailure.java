package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import org.knapweedbank.store.StoreResult;

/** Classifies what went wrong with a call. */
final class EtcdFailure {
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;

    /** Status codes of gRPC that are given before a request is proposed to the service. */
    private static final int INVALID_ARGUMENT = 3;

    private static final int NOT_FOUND = 5;
    private static final int PERMISSION_DENIED = 7;
    private static final int RESOURCE_EXHAUSTED = 8;
    private static final int FAILED_PRECONDITION = 9;
    private static final int OUT_OF_RANGE = 11;
    private static final int UNIMPLEMENTED = 12;
    private static final int UNAUTHENTICATED = 16;
    private static final Set<Integer> REFUSALS =
            Set.of(
                    INVALID_ARGUMENT,
                    NOT_FOUND,
                    PERMISSION_DENIED,
                    RESOURCE_EXHAUSTED,
                    FAILED_PRECONDITION,
                    OUT_OF_RANGE,
                    UNIMPLEMENTED,
                    UNAUTHENTICATED);

    /** Given while a member has no leader, before it proposes a request. */
    private static final String NO_LEADER = "etcdserver: no leader";

    /**
     * An error answer.
     *
     * @param code status code of gRPC, or 0 if the body holds none
     * @param message the service's message
     */
    record ErrorBody(int code, String message) {}

    private EtcdFailure() {}

    static ErrorBody errorBody(int status, byte[] body) {
        try {
            ObjectNode node = EtcdJson.parse(body);
            JsonNode message = EtcdJson.field(node, "message");
            message = message == null ? EtcdJson.field(node, "error") : message;
            int code = (int) EtcdJson.number(node, "code");
            return new ErrorBody(code, message == null ? "status " + status : message.asText());
        } catch (MalformedAnswerException e) {
            return new ErrorBody(0, "status " + status);
        }
    }

    /**
     * Classifies an answer with an error status. Other codes than refusals, such as a time limit
     * within the service, leave open whether a write took effect.
     */
    static <T> StoreResult<T> ofStatus(int status, byte[] body, boolean write) {
        ErrorBody error = errorBody(status, body);
        boolean refusedByStatus = error.code == 0 && status >= BAD_REQUEST && status < SERVER_ERROR;
        if (REFUSALS.contains(error.code) || refusedByStatus) {
            return new StoreResult.Rejected<>(error.message);
        }
        if (error.message.equals(NO_LEADER)) {
            return new StoreResult.Unavailable<>(error.message);
        }
        return afterSending(error.message, write);
    }

    /** A read has no effect, so the loss of its answer is never an unknown outcome. */
    static <T> StoreResult<T> afterSending(String reason, boolean write) {
        return write ? new StoreResult.Unknown<>(reason) : new StoreResult.Unavailable<>(reason);
    }
}
