package org.knapweedbank.control;

import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.Ownership;

/** Opens the journal of a partition. */
@FunctionalInterface
public interface JournalFactory {
    /**
     * Opens a journal.
     *
     * @param ownership ownership that guards its writes
     * @return the journal
     */
    PartitionJournal open(Ownership ownership);
}
