package org.knapweedbank.control;

import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.Ownership;

/** Opens the journal of a partition. */
@FunctionalInterface
public interface JournalFactory {
    /**
     * Opens the journal of a partition.
     *
     * @param ownership ownership that fences the writes: they fail once another owner has taken the
     *     partition
     * @return the journal
     */
    PartitionJournal open(Ownership ownership);
}
