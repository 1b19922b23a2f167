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

/** Decodes answers of the gateway. */
final class EtcdDecoder {
    private EtcdDecoder() {}

    static KeyRange range(byte[] body) throws MalformedAnswerException {
        ObjectNode node = EtcdJson.parse(body);
        return range(node, revision(node));
    }

    /** Decodes the answer to a transaction, whose shape has to match the transaction. */
    static TransactionResult transaction(Transaction transaction, byte[] body)
            throws MalformedAnswerException {
        ObjectNode node = EtcdJson.parse(body);
        return transaction(transaction, node, revision(node));
    }

    static long granted(byte[] body) throws MalformedAnswerException {
        long id = EtcdJson.number(EtcdJson.parse(body), "ID");
        if (id == 0) {
            throw new MalformedAnswerException("ID is missing");
        }
        return id;
    }

    /** Decodes the first message of the answer to a renewal; true if the lease is held. */
    static boolean renewed(byte[] body) throws MalformedAnswerException {
        ObjectNode result = EtcdJson.requireObject(EtcdJson.parse(body), "result");
        return EtcdJson.number(result, "TTL") > 0;
    }

    static KeyEntry entry(JsonNode node) throws MalformedAnswerException {
        return new KeyEntry(
                EtcdJson.key(node, "key"),
                EtcdJson.binary(node, "value"),
                EtcdJson.number(node, "create_revision"),
                EtcdJson.number(node, "mod_revision"),
                EtcdJson.number(node, "lease"));
    }

    static long revision(JsonNode node) throws MalformedAnswerException {
        return EtcdJson.number(EtcdJson.requireObject(node, "header"), "revision");
    }

    private static KeyRange range(JsonNode node, long revision) throws MalformedAnswerException {
        List<KeyEntry> entries = new ArrayList<>();
        for (JsonNode entry : EtcdJson.elements(node, "kvs")) {
            entries.add(entry(entry));
        }
        boolean more = EtcdJson.flag(node, "more");
        if (more && entries.isEmpty()) {
            throw new MalformedAnswerException("more entries are announced after an empty page");
        }
        return new KeyRange(entries, more, revision);
    }

    private static TransactionResult transaction(
            Transaction transaction, JsonNode node, long revision) throws MalformedAnswerException {
        boolean compared = EtcdJson.flag(node, "succeeded");
        List<Operation> operations = compared ? transaction.onSuccess() : transaction.onFailure();
        List<OperationResult> results = new ArrayList<>();
        for (JsonNode response : EtcdJson.elements(node, "responses")) {
            if (results.size() == operations.size()) {
                throw new MalformedAnswerException("more responses than operations");
            }
            results.add(result(operations.get(results.size()), response, revision));
        }
        if (results.size() != operations.size()) {
            throw new MalformedAnswerException("fewer responses than operations");
        }
        return new TransactionResult(compared, results, revision);
    }

    private static OperationResult result(Operation operation, JsonNode response, long revision)
            throws MalformedAnswerException {
        return switch (operation) {
            case Operation.Get ignored ->
                    new OperationResult.Read(
                            range(EtcdJson.requireObject(response, "response_range"), revision));
            case Operation.Nested nested ->
                    new OperationResult.Nested(
                            transaction(
                                    nested.transaction(),
                                    EtcdJson.requireObject(response, "response_txn"),
                                    revision));
            case Operation.Put ignored -> done(response, "response_put");
            case Operation.Delete ignored -> done(response, "response_delete_range");
            case Operation.DeleteRange ignored -> done(response, "response_delete_range");
        };
    }

    private static OperationResult done(JsonNode response, String name)
            throws MalformedAnswerException {
        EtcdJson.requireObject(response, name);
        return new OperationResult.Done();
    }
}
