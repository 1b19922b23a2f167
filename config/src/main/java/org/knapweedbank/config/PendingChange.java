package org.knapweedbank.config;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * A change that is being written. Its transaction can be sent again without harm: it compares the
 * revision of the head, which its first success changes.
 *
 * @param head head that it writes
 * @param write the change
 * @param transaction the transaction
 */
record PendingChange(ConfigurationHead head, Proposal.Write write, Transaction transaction) {
    static PendingChange of(ConfigurationHead head, Proposal.Write write, long headRevision) {
        long number = head.generation();
        Compare unchanged =
                headRevision == 0
                        ? new Compare.Absent(ConfigurationKeys.HEAD)
                        : new Compare.ModifiedAt(ConfigurationKeys.HEAD, headRevision);
        List<Operation> operations =
                new ArrayList<>(
                        List.of(
                                put(
                                        ConfigurationKeys.generation(number),
                                        ConfigurationCodec.encode(write.next())),
                                put(ConfigurationKeys.HEAD, ConfigurationCodec.bytes(head)),
                                put(
                                        ConfigurationKeys.audit(number),
                                        ConfigurationCodec.bytes(audit(head, write.action())))));
        long oldGeneration = number - ConfigurationLimits.KEPT_GENERATIONS;
        if (oldGeneration > 0) {
            operations.add(new Operation.Delete(ConfigurationKeys.generation(oldGeneration)));
        }
        long oldRecord = number - ConfigurationLimits.KEPT_AUDIT_RECORDS;
        if (oldRecord > 0) {
            operations.add(new Operation.Delete(ConfigurationKeys.audit(oldRecord)));
        }
        Operation readHead = new Operation.Get(ConfigurationKeys.HEAD);
        return new PendingChange(
                head, write, new Transaction(List.of(unchanged), operations, List.of(readHead)));
    }

    private static AuditRecord audit(ConfigurationHead head, String action) {
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

    private static Operation put(String key, byte[] value) {
        return new Operation.Put(key, value, 0);
    }
}
