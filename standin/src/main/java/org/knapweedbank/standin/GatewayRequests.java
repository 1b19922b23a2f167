package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/** Decodes the requests of the gateway's published JSON form. */
final class GatewayRequests {
    private static final int MAX_RANGE = 10_000;

    private GatewayRequests() {}

    /** A read of the keys in [{@code from}, {@code to}), or of one key when {@code to} is empty. */
    record Range(String from, String to, int limit) {}

    static Range range(JsonNode node) throws BadRequestException {
        long limit = JsonBodies.number(node.get("limit"), "limit");
        return new Range(
                key(node.get("key"), "key"),
                key(JsonBodies.field(node, "range_end", "rangeEnd"), "range_end"),
                limit == 0 ? MAX_RANGE : (int) Math.min(limit, MAX_RANGE));
    }

    static Transaction transaction(JsonNode node) throws BadRequestException {
        List<Compare> compares = new ArrayList<>();
        for (JsonNode compare : elements(node, "compare")) {
            compares.add(compare(compare));
        }
        return new Transaction(compares, operations(node, "success"), operations(node, "failure"));
    }

    static String key(JsonNode value, String name) throws BadRequestException {
        return new String(JsonBodies.binary(value, name), StandardCharsets.UTF_8);
    }

    private static List<Operation> operations(JsonNode node, String name)
            throws BadRequestException {
        List<Operation> operations = new ArrayList<>();
        for (JsonNode operation : elements(node, name)) {
            operations.add(operation(operation));
        }
        return operations;
    }

    private static Iterable<JsonNode> elements(JsonNode node, String name)
            throws BadRequestException {
        JsonNode array = node.get(name);
        if (array == null) {
            return List.of();
        }
        if (!array.isArray()) {
            throw new BadRequestException(name + " is not an array");
        }
        return array;
    }

    private static Compare compare(JsonNode node) throws BadRequestException {
        String key = key(node.get("key"), "key");
        if (!node.path("result").asText("EQUAL").equals("EQUAL")) {
            throw new BadRequestException("result is not supported: " + node.path("result"));
        }
        String target = node.path("target").asText("VERSION");
        switch (target) {
            case "CREATE":
                long created = revision(node, "create_revision", "createRevision");
                return created == 0 ? new Compare.Absent(key) : new Compare.CreatedAt(key, created);
            case "MOD":
                return new Compare.ModifiedAt(key, revision(node, "mod_revision", "modRevision"));
            case "VALUE":
                return new Compare.ValueEquals(key, JsonBodies.binary(node.get("value"), "value"));
            default:
                throw new BadRequestException("target is not supported: " + target);
        }
    }

    private static long revision(JsonNode node, String snakeName, String camelName)
            throws BadRequestException {
        return JsonBodies.number(JsonBodies.field(node, snakeName, camelName), snakeName);
    }

    private static Operation operation(JsonNode node) throws BadRequestException {
        JsonNode put = JsonBodies.field(node, "request_put", "requestPut");
        if (put != null) {
            return new Operation.Put(
                    key(put.get("key"), "key"),
                    JsonBodies.binary(put.get("value"), "value"),
                    JsonBodies.number(put.get("lease"), "lease"));
        }
        JsonNode get = JsonBodies.field(node, "request_range", "requestRange");
        if (get != null) {
            if (JsonBodies.field(get, "range_end", "rangeEnd") != null) {
                throw new BadRequestException("ranges in transactions are not supported");
            }
            return new Operation.Get(key(get.get("key"), "key"));
        }
        JsonNode delete = JsonBodies.field(node, "request_delete_range", "requestDeleteRange");
        if (delete != null) {
            Range range = range(delete);
            return range.to.isEmpty()
                    ? new Operation.Delete(range.from)
                    : new Operation.DeleteRange(range.from, range.to);
        }
        JsonNode nested = JsonBodies.field(node, "request_txn", "requestTxn");
        if (nested != null) {
            return new Operation.Nested(transaction(nested));
        }
        throw new BadRequestException("operation is not supported: " + node);
    }
}
