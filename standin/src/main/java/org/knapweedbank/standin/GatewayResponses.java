package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/**
 * Encodes responses in the JSON form of the etcd gateway: 64-bit numbers as strings, keys and
 * values in base64, and fields with a default value left out.
 */
final class GatewayResponses {
    private GatewayResponses() {}

    /**
     * Creates a response that has a header only.
     *
     * @param revision revision of the store when the request was executed
     */
    static ObjectNode withHeader(long revision) {
        ObjectNode node = JsonBodies.newObject();
        node.putObject("header")
                .put("cluster_id", "14841639068965178418")
                .put("member_id", "10276657743932975437")
                .put("revision", String.valueOf(revision))
                .put("raft_term", "2");
        return node;
    }

    static ObjectNode range(KeyRange range) {
        return addRange(withHeader(range.revision()), range);
    }

    static ObjectNode transaction(Transaction transaction, TransactionResult result) {
        return addResults(withHeader(result.revision()), transaction, result);
    }

    static ObjectNode entry(KeyEntry entry) {
        ObjectNode node = JsonBodies.newObject();
        node.put("key", entry.key().getBytes(StandardCharsets.UTF_8));
        putUnlessZero(node, "create_revision", entry.createRevision());
        putUnlessZero(node, "mod_revision", entry.modRevision());
        node.put("version", "1");
        if (entry.value().length > 0) {
            node.put("value", entry.value());
        }
        putUnlessZero(node, "lease", entry.leaseId());
        return node;
    }

    static ObjectNode error(int code, String message) {
        return JsonBodies.newObject()
                .put("error", message)
                .put("code", code)
                .put("message", message);
    }

    private static ObjectNode addRange(ObjectNode node, KeyRange range) {
        if (!range.entries().isEmpty()) {
            ArrayNode entries = node.putArray("kvs");
            range.entries().forEach(entry -> entries.add(entry(entry)));
            node.put("count", String.valueOf(range.entries().size()));
        }
        if (range.hasMore()) {
            node.put("more", true);
        }
        return node;
    }

    private static ObjectNode addResults(
            ObjectNode node, Transaction transaction, TransactionResult result) {
        List<Operation> operations =
                result.conditionsHeld() ? transaction.onSuccess() : transaction.onFailure();
        if (result.conditionsHeld()) {
            node.put("succeeded", true);
        }
        if (!operations.isEmpty()) {
            ArrayNode responses = node.putArray("responses");
            for (int i = 0; i < operations.size(); i++) {
                addResult(responses.addObject(), operations.get(i), result.results().get(i));
            }
        }
        return node;
    }

    private static void addResult(ObjectNode node, Operation operation, OperationResult result) {
        switch (operation) {
            case Operation.Put ignored -> node.putObject("response_put");
            case Operation.Delete ignored -> node.putObject("response_delete_range");
            case Operation.DeleteRange ignored -> node.putObject("response_delete_range");
            case Operation.Get ignored ->
                    addRange(
                            node.putObject("response_range"),
                            ((OperationResult.Read) result).range());
            case Operation.Nested nested ->
                    addResults(
                            node.putObject("response_txn"),
                            nested.transaction(),
                            ((OperationResult.Nested) result).result());
        }
    }

    /** Adds a number as a string, unless it has the default value 0. */
    private static void putUnlessZero(ObjectNode node, String name, long number) {
        if (number != 0) {
            node.put(name, String.valueOf(number));
        }
    }
}
