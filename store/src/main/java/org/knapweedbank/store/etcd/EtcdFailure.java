package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import org.knapweedbank.store.StoreResult;

/** Maps failures of calls to store results by whether the call may have had an effect. */
final class EtcdFailure {
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;

    // gRPC status codes with which a member rejects a request before proposing it to the cluster.
    private static final int INVALID_ARGUMENT = 3;

    private static final int NOT_FOUND = 5;
    private static final int PERMISSION_DENIED = 7;
    private static final int RESOURCE_EXHAUSTED = 8;
    private static final int FAILED_PRECONDITION = 9;
    private static final int OUT_OF_RANGE = 11;
    private static final int UNIMPLEMENTED = 12;
    private static final int UNAUTHENTICATED = 16;
    private static final Set<Integer> REJECTION_CODES =
            Set.of(
                    INVALID_ARGUMENT,
                    NOT_FOUND,
                    PERMISSION_DENIED,
                    RESOURCE_EXHAUSTED,
                    FAILED_PRECONDITION,
                    OUT_OF_RANGE,
                    UNIMPLEMENTED,
                    UNAUTHENTICATED);

    /** Error of a member that knows no leader, returned before the request is proposed. */
    private static final String NO_LEADER = "etcdserver: no leader";

    /**
     * Body of an error response.
     *
     * @param code gRPC status code, or 0 if the body holds none
     * @param message error message of the service
     */
    record ErrorBody(int code, String message) {}

    private EtcdFailure() {}

    static ErrorBody parseErrorBody(int status, byte[] body) {
        try {
            ObjectNode node = EtcdJson.parseObject(body);
            JsonNode message = EtcdJson.fieldOrNull(node, "message");
            message = message == null ? EtcdJson.fieldOrNull(node, "error") : message;
            int code = (int) EtcdJson.longField(node, "code");
            return new ErrorBody(
                    code, message == null ? "HTTP status " + status : message.asText());
        } catch (MalformedResponseException e) {
            return new ErrorBody(0, "HTTP status " + status);
        }
    }

    /**
     * Returns the result for a response with an error status. With codes that are not rejections,
     * such as a timeout within the service, a write may have taken effect.
     */
    static <T> StoreResult<T> resultOfErrorResponse(int status, byte[] body, boolean mayWrite) {
        ErrorBody error = parseErrorBody(status, body);
        boolean rejectedByStatus =
                error.code == 0 && status >= BAD_REQUEST && status < SERVER_ERROR;
        if (REJECTION_CODES.contains(error.code) || rejectedByStatus) {
            return new StoreResult.Rejected<>(error.message);
        }
        if (error.message.equals(NO_LEADER)) {
            return new StoreResult.Unavailable<>(error.message);
        }
        return resultAfterSending(error.message, mayWrite);
    }

    /**
     * Returns the result for a request that was sent but has no usable response. Since a read has
     * no effect, its outcome is never unknown.
     */
    static <T> StoreResult<T> resultAfterSending(String reason, boolean mayWrite) {
        return mayWrite ? new StoreResult.Unknown<>(reason) : new StoreResult.Unavailable<>(reason);
    }
}
