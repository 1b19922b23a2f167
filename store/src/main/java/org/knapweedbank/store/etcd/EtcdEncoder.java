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

    static byte[] get(String key) {
        return EtcdJson.bytes(key(EtcdJson.object(), "key", key));
    }

    static byte[] range(String from, String end, int limit) {
        ObjectNode range = key(EtcdJson.object(), "key", from);
        key(range, "range_end", end);
        range.put("limit", String.valueOf(limit));
        return EtcdJson.bytes(range);
    }

    static byte[] transaction(Transaction transaction) {
        return EtcdJson.bytes(encode(transaction));
    }

    static byte[] grant(Duration ttl) {
        // The service counts whole seconds; rounding up never shortens a lease.
        long seconds = Math.max(1, ttl.plusNanos(999_999_999).toSeconds());
        return EtcdJson.bytes(EtcdJson.object().put("TTL", String.valueOf(seconds)));
    }

    static byte[] lease(long leaseId) {
        return EtcdJson.bytes(EtcdJson.object().put("ID", String.valueOf(leaseId)));
    }

    static byte[] watch(String prefix, long fromRevision) {
        ObjectNode create = key(EtcdJson.object(), "key", prefix);
        key(create, "range_end", KeyPrefix.end(prefix));
        if (fromRevision > 0) {
            create.put("start_revision", String.valueOf(fromRevision));
        }
        ObjectNode request = EtcdJson.object();
        request.set("create_request", create);
        return EtcdJson.bytes(request);
    }

    private static ObjectNode encode(Transaction transaction) {
        ObjectNode node = EtcdJson.object();
        ArrayNode compares = node.putArray("compare");
        transaction.compares().forEach(compare -> compares.add(encode(compare)));
        addAll(node.putArray("success"), transaction.onSuccess());
        addAll(node.putArray("failure"), transaction.onFailure());
        return node;
    }

    private static void addAll(ArrayNode array, List<Operation> operations) {
        operations.forEach(operation -> array.add(encode(operation)));
    }

    private static ObjectNode encode(Compare compare) {
        ObjectNode node = key(EtcdJson.object(), "key", compare.key()).put("result", "EQUAL");
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

    private static ObjectNode encode(Operation operation) {
        ObjectNode node = EtcdJson.object();
        switch (operation) {
            case Operation.Put put -> {
                ObjectNode request = key(node.putObject("request_put"), "key", put.key());
                request.put("value", put.value());
                if (put.leaseId() != 0) {
                    request.put("lease", String.valueOf(put.leaseId()));
                }
            }
            case Operation.Delete delete ->
                    key(node.putObject("request_delete_range"), "key", delete.key());
            case Operation.DeleteRange range -> {
                ObjectNode request =
                        key(node.putObject("request_delete_range"), "key", range.from());
                key(request, "range_end", range.to());
            }
            case Operation.Get get -> key(node.putObject("request_range"), "key", get.key());
            case Operation.Nested nested -> node.set("request_txn", encode(nested.transaction()));
        }
        return node;
    }

    private static ObjectNode key(ObjectNode node, String name, String key) {
        return node.put(name, key.getBytes(StandardCharsets.UTF_8));
    }
}
