package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/** Encodes requests to the gateway. */
final class EtcdEncoder {
    private EtcdEncoder() {}

    static byte[] encodeGet(String key) {
        return EtcdJson.encode(putKey(EtcdJson.newObject(), "key", key));
    }

    static byte[] encodeRange(String from, String end, int limit) {
        ObjectNode range = putKey(EtcdJson.newObject(), "key", from);
        putKey(range, "range_end", end);
        range.put("limit", String.valueOf(limit));
        return EtcdJson.encode(range);
    }

    static byte[] encodeTransaction(Transaction transaction) {
        return EtcdJson.encode(toJson(transaction));
    }

    static byte[] encodeLeaseGrant(Duration ttl) {
        // The service takes whole seconds. The time to live is rounded up, so that the lease never
        // lasts shorter than requested.
        long seconds = Math.max(1, ttl.plusNanos(999_999_999).toSeconds());
        return EtcdJson.encode(EtcdJson.newObject().put("TTL", String.valueOf(seconds)));
    }

    static byte[] encodeLeaseId(long leaseId) {
        return EtcdJson.encode(EtcdJson.newObject().put("ID", String.valueOf(leaseId)));
    }

    static byte[] encodeWatch(String prefix, long fromRevision) {
        ObjectNode create = putKey(EtcdJson.newObject(), "key", prefix);
        putKey(create, "range_end", KeyPrefix.rangeEnd(prefix));
        if (fromRevision > 0) {
            create.put("start_revision", String.valueOf(fromRevision));
        }
        ObjectNode request = EtcdJson.newObject();
        request.set("create_request", create);
        return EtcdJson.encode(request);
    }

    private static ObjectNode toJson(Transaction transaction) {
        ObjectNode node = EtcdJson.newObject();
        ArrayNode compares = node.putArray("compare");
        transaction.compares().forEach(compare -> compares.add(toJson(compare)));
        addOperations(node.putArray("success"), transaction.onSuccess());
        addOperations(node.putArray("failure"), transaction.onFailure());
        return node;
    }

    private static void addOperations(ArrayNode array, List<Operation> operations) {
        operations.forEach(operation -> array.add(toJson(operation)));
    }

    private static ObjectNode toJson(Compare compare) {
        ObjectNode node = putKey(EtcdJson.newObject(), "key", compare.key()).put("result", "EQUAL");
        return switch (compare) {
            case Compare.Absent ignored -> node.put("target", "CREATE").put("create_revision", "0");
            case Compare.CreatedAt created ->
                    node.put("target", "CREATE")
                            .put("create_revision", String.valueOf(created.revision()));
            case Compare.ModifiedAt modified ->
                    node.put("target", "MOD")
                            .put("mod_revision", String.valueOf(modified.revision()));
            case Compare.ValueEquals value ->
                    node.put("target", "VALUE").put("value", value.value());
        };
    }

    private static ObjectNode toJson(Operation operation) {
        ObjectNode node = EtcdJson.newObject();
        switch (operation) {
            case Operation.Put put -> {
                ObjectNode request = putKey(node.putObject("request_put"), "key", put.key());
                request.put("value", put.value());
                if (put.leaseId() != 0) {
                    request.put("lease", String.valueOf(put.leaseId()));
                }
            }
            case Operation.Delete delete ->
                    putKey(node.putObject("request_delete_range"), "key", delete.key());
            case Operation.DeleteRange range -> {
                ObjectNode request =
                        putKey(node.putObject("request_delete_range"), "key", range.from());
                putKey(request, "range_end", range.to());
            }
            case Operation.Get get -> putKey(node.putObject("request_range"), "key", get.key());
            case Operation.Nested nested -> node.set("request_txn", toJson(nested.transaction()));
        }
        return node;
    }

    private static ObjectNode putKey(ObjectNode node, String name, String key) {
        return node.put(name, key.getBytes(StandardCharsets.UTF_8));
    }
}
