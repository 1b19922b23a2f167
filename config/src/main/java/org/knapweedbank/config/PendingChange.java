package org.knapweedbank.config;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * A change whose transaction is being sent to the store. The transaction is idempotent: it compares
 * the revision of the head, which changes when the transaction first succeeds.
 *
 * @param head head that the transaction writes
 * @param write planned change
 * @param transaction transaction that writes the generation, the head and the audit record
 */
record PendingChange(ConfigurationHead head, ChangePlan.Write write, Transaction transaction) {
    static PendingChange of(ConfigurationHead head, ChangePlan.Write write, long headRevision) {
        long generation = head.generation();
        Compare headUnchanged =
                headRevision == 0
                        ? new Compare.Absent(ConfigurationKeys.HEAD)
                        : new Compare.ModifiedAt(ConfigurationKeys.HEAD, headRevision);
        List<Operation> operations =
                new ArrayList<>(
                        List.of(
                                putOperation(
                                        ConfigurationKeys.generationKey(generation),
                                        ConfigurationCodec.encode(write.next())),
                                putOperation(
                                        ConfigurationKeys.HEAD,
                                        ConfigurationCodec.encodeJson(head)),
                                putOperation(
                                        ConfigurationKeys.auditKey(generation),
                                        ConfigurationCodec.encodeJson(
                                                toAuditRecord(head, write.action())))));
        long expiredGeneration = generation - ConfigurationLimits.KEPT_GENERATIONS;
        if (expiredGeneration > 0) {
            operations.add(
                    new Operation.Delete(ConfigurationKeys.generationKey(expiredGeneration)));
        }
        long expiredAuditRecord = generation - ConfigurationLimits.KEPT_AUDIT_RECORDS;
        if (expiredAuditRecord > 0) {
            operations.add(new Operation.Delete(ConfigurationKeys.auditKey(expiredAuditRecord)));
        }
        Operation readHead = new Operation.Get(ConfigurationKeys.HEAD);
        return new PendingChange(
                head,
                write,
                new Transaction(List.of(headUnchanged), operations, List.of(readHead)));
    }

    private static AuditRecord toAuditRecord(ConfigurationHead head, String action) {
        return new AuditRecord(
                head.generation(),
                head.at(),
                head.operator(),
                action,
                "applied",
                head.digest(),
                head.writer(),
                head.sequence(),
                head.change());
    }

    private static Operation putOperation(String key, byte[] value) {
        return new Operation.Put(key, value, 0);
    }
}
