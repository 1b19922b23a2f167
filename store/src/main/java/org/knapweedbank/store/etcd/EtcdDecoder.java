package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/** Decodes responses of the gateway. */
final class EtcdDecoder {
    private EtcdDecoder() {}

    static KeyRange decodeRange(byte[] body) throws MalformedResponseException {
        ObjectNode node = EtcdJson.parseObject(body);
        return decodeRange(node, decodeRevision(node));
    }

    /**
     * Decodes the response to a transaction. Number and types of the results have to match the
     * operations of the transaction.
     */
    static TransactionResult decodeTransaction(Transaction transaction, byte[] body)
            throws MalformedResponseException {
        ObjectNode node = EtcdJson.parseObject(body);
        return decodeTransaction(transaction, node, decodeRevision(node));
    }

    static long decodeGrantedLeaseId(byte[] body) throws MalformedResponseException {
        long id = EtcdJson.longField(EtcdJson.parseObject(body), "ID");
        if (id == 0) {
            throw new MalformedResponseException("lease ID is missing");
        }
        return id;
    }

    /** Decodes the response to a lease renewal. Returns true if the lease is still held. */
    static boolean decodeRenewal(byte[] body) throws MalformedResponseException {
        ObjectNode result = EtcdJson.objectField(EtcdJson.parseObject(body), "result");
        return EtcdJson.longField(result, "TTL") > 0;
    }

    static KeyEntry decodeEntry(JsonNode node) throws MalformedResponseException {
        return new KeyEntry(
                EtcdJson.textField(node, "key"),
                EtcdJson.binaryField(node, "value"),
                EtcdJson.longField(node, "create_revision"),
                EtcdJson.longField(node, "mod_revision"),
                EtcdJson.longField(node, "lease"));
    }

    static long decodeRevision(JsonNode node) throws MalformedResponseException {
        return EtcdJson.longField(EtcdJson.objectField(node, "header"), "revision");
    }

    private static KeyRange decodeRange(JsonNode node, long revision)
            throws MalformedResponseException {
        List<KeyEntry> entries = new ArrayList<>();
        for (JsonNode entry : EtcdJson.arrayElements(node, "kvs")) {
            entries.add(decodeEntry(entry));
        }
        boolean more = EtcdJson.booleanField(node, "more");
        if (more && entries.isEmpty()) {
            throw new MalformedResponseException("response announces more entries but holds none");
        }
        return new KeyRange(entries, more, revision);
    }

    private static TransactionResult decodeTransaction(
            Transaction transaction, JsonNode node, long revision)
            throws MalformedResponseException {
        boolean compared = EtcdJson.booleanField(node, "succeeded");
        List<Operation> operations = compared ? transaction.onSuccess() : transaction.onFailure();
        List<OperationResult> results = new ArrayList<>();
        for (JsonNode response : EtcdJson.arrayElements(node, "responses")) {
            if (results.size() == operations.size()) {
                throw new MalformedResponseException(
                        "response has more results than the transaction has operations");
            }
            results.add(decodeResult(operations.get(results.size()), response, revision));
        }
        if (results.size() != operations.size()) {
            throw new MalformedResponseException(
                    "response has fewer results than the transaction has operations");
        }
        return new TransactionResult(compared, results, revision);
    }

    private static OperationResult decodeResult(
            Operation operation, JsonNode response, long revision)
            throws MalformedResponseException {
        return switch (operation) {
            case Operation.Get ignored ->
                    new OperationResult.Read(
                            decodeRange(
                                    EtcdJson.objectField(response, "response_range"), revision));
            case Operation.Nested nested ->
                    new OperationResult.Nested(
                            decodeTransaction(
                                    nested.transaction(),
                                    EtcdJson.objectField(response, "response_txn"),
                                    revision));
            case Operation.Put ignored -> decodeWriteResult(response, "response_put");
            case Operation.Delete ignored -> decodeWriteResult(response, "response_delete_range");
            case Operation.DeleteRange ignored ->
                    decodeWriteResult(response, "response_delete_range");
        };
    }

    private static OperationResult decodeWriteResult(JsonNode response, String name)
            throws MalformedResponseException {
        EtcdJson.objectField(response, name);
        return new OperationResult.Done();
    }
}
