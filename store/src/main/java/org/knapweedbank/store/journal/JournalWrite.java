package org.knapweedbank.store.journal;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * One write of the journal, guarded by the epoch of the ownership. The write has taken effect if
 * its key has its value.
 *
 * @param epochGuard condition that the ownership is still current
 * @param key key that is written
 * @param value value of the key, which also identifies the write
 * @param create true if the key must not exist before the write
 * @param deletions deletions made in the same transaction
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
