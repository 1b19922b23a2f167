package org.knapweedbank.daemon;

import io.smallrye.mutiny.Uni;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.journal.GroupCommitJournal;
import org.knapweedbank.store.journal.JournalContents;
import org.knapweedbank.store.journal.JournalOutcome;
import org.knapweedbank.store.journal.PartitionJournal;

/** Journal whose periodic work runs on the store thread until the journal is closed. */
final class StoreThreadJournal implements PartitionJournal {
    private final GroupCommitJournal mJournal;
    private final Set<StoreThreadJournal> mOpenJournals;

    /**
     * Creates a journal and registers it with the store thread.
     *
     * @param journal underlying journal
     * @param openJournals journals that the store thread runs; this journal is added, and removed
     *     when it is closed
     */
    StoreThreadJournal(GroupCommitJournal journal, Set<StoreThreadJournal> openJournals) {
        mJournal = journal;
        mOpenJournals = openJournals;
        mOpenJournals.add(this);
    }

    void tick() {
        mJournal.tick();
    }

    @Override
    public Uni<StoreResult<JournalContents>> load() {
        return mJournal.load();
    }

    @Override
    public boolean append(byte[] record, Consumer<JournalOutcome> listener) {
        return mJournal.append(record, listener);
    }

    @Override
    public boolean compact(byte[] snapshot, Consumer<JournalOutcome> listener) {
        return mJournal.compact(snapshot, listener);
    }

    @Override
    public int segmentCount() {
        return mJournal.segmentCount();
    }

    @Override
    public void close() {
        mJournal.close();
        mOpenJournals.remove(this);
    }
}
