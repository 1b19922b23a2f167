package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/** Decodes requests in the JSON form of the etcd gateway. */
final class GatewayRequests {
    private static final int MAX_RANGE_ENTRIES = 10_000;

    private GatewayRequests() {}

    /**
     * Keys that a request reads or deletes.
     *
     * @param from first key
     * @param to end of the range, exclusive; empty for the single key {@code from}
     * @param limit maximum number of entries to return
     */
    record Range(String from, String to, int limit) {}

    static Range decodeRange(JsonNode node) throws BadRequestException {
        long limit = JsonBodies.decodeLong(node.get("limit"), "limit");
        return new Range(
                decodeKey(node.get("key"), "key"),
                decodeKey(JsonBodies.field(node, "range_end", "rangeEnd"), "range_end"),
                limit == 0 ? MAX_RANGE_ENTRIES : (int) Math.min(limit, MAX_RANGE_ENTRIES));
    }

    static Transaction decodeTransaction(JsonNode node) throws BadRequestException {
        List<Compare> compares = new ArrayList<>();
        for (JsonNode compare : arrayElements(node, "compare")) {
            compares.add(decodeCompare(compare));
        }
        return new Transaction(
                compares, decodeOperations(node, "success"), decodeOperations(node, "failure"));
    }

    static String decodeKey(JsonNode value, String fieldName) throws BadRequestException {
        return new String(JsonBodies.decodeBase64(value, fieldName), StandardCharsets.UTF_8);
    }

    private static List<Operation> decodeOperations(JsonNode node, String fieldName)
            throws BadRequestException {
        List<Operation> operations = new ArrayList<>();
        for (JsonNode operation : arrayElements(node, fieldName)) {
            operations.add(decodeOperation(operation));
        }
        return operations;
    }

    private static Iterable<JsonNode> arrayElements(JsonNode node, String fieldName)
            throws BadRequestException {
        JsonNode array = node.get(fieldName);
        if (array == null) {
            return List.of();
        }
        if (!array.isArray()) {
            throw new BadRequestException(fieldName + " is not an array");
        }
        return array;
    }

    private static Compare decodeCompare(JsonNode node) throws BadRequestException {
        String key = decodeKey(node.get("key"), "key");
        if (!node.path("result").asText("EQUAL").equals("EQUAL")) {
            throw new BadRequestException("result is not supported: " + node.path("result"));
        }
        String target = node.path("target").asText("VERSION");
        switch (target) {
            case "CREATE":
                long createRevision = decodeRevision(node, "create_revision", "createRevision");
                return createRevision == 0
                        ? new Compare.Absent(key)
                        : new Compare.CreatedAt(key, createRevision);
            case "MOD":
                return new Compare.ModifiedAt(
                        key, decodeRevision(node, "mod_revision", "modRevision"));
            case "VALUE":
                return new Compare.ValueEquals(
                        key, JsonBodies.decodeBase64(node.get("value"), "value"));
            default:
                throw new BadRequestException("target is not supported: " + target);
        }
    }

    private static long decodeRevision(JsonNode node, String snakeName, String camelName)
            throws BadRequestException {
        return JsonBodies.decodeLong(JsonBodies.field(node, snakeName, camelName), snakeName);
    }

    private static Operation decodeOperation(JsonNode node) throws BadRequestException {
        JsonNode put = JsonBodies.field(node, "request_put", "requestPut");
        if (put != null) {
            return new Operation.Put(
                    decodeKey(put.get("key"), "key"),
                    JsonBodies.decodeBase64(put.get("value"), "value"),
                    JsonBodies.decodeLong(put.get("lease"), "lease"));
        }
        JsonNode get = JsonBodies.field(node, "request_range", "requestRange");
        if (get != null) {
            if (JsonBodies.field(get, "range_end", "rangeEnd") != null) {
                throw new BadRequestException("ranges in transactions are not supported");
            }
            return new Operation.Get(decodeKey(get.get("key"), "key"));
        }
        JsonNode delete = JsonBodies.field(node, "request_delete_range", "requestDeleteRange");
        if (delete != null) {
            Range range = decodeRange(delete);
            return range.to.isEmpty()
                    ? new Operation.Delete(range.from)
                    : new Operation.DeleteRange(range.from, range.to);
        }
        JsonNode nested = JsonBodies.field(node, "request_txn", "requestTxn");
        if (nested != null) {
            return new Operation.Nested(decodeTransaction(nested));
        }
        throw new BadRequestException("operation is not supported: " + node);
    }
}
