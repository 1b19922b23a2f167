package org.knapweedbank.store.journal;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * One guarded write of a journal. Its effect is known to be present when the key has the value.
 *
 * @param epochGuard condition that this ownership is current
 * @param key key written
 * @param value its value, which identifies the write
 * @param create true if the key must not exist before
 * @param deletions deletions in the same transaction
 */
record JournalWrite(
        Compare epochGuard, String key, byte[] value, boolean create, List<Operation> deletions) {

    Transaction transaction() {
        List<Compare> compares =
                create ? List.of(epochGuard, new Compare.Absent(key)) : List.of(epochGuard);
        List<Operation> operations = new ArrayList<>();
        operations.add(new Operation.Put(key, value, 0));
        operations.addAll(deletions);
        return new Transaction(
                compares,
                operations,
                List.of(new Operation.Get(epochGuard.key()), new Operation.Get(key)));
    }
}
