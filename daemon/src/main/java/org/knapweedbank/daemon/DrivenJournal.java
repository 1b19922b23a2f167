package org.knapweedbank.daemon;

import io.smallrye.mutiny.Uni;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.journal.GroupCommitJournal;
import org.knapweedbank.store.journal.JournalContents;
import org.knapweedbank.store.journal.JournalOutcome;
import org.knapweedbank.store.journal.PartitionJournal;

/** Journal that is driven by the thread of the store duty until it is closed. */
final class DrivenJournal implements PartitionJournal {
    private final GroupCommitJournal mJournal;
    private final Set<DrivenJournal> mOpen;

    /**
     * Creates a journal.
     *
     * @param journal the journal
     * @param open journals to drive; this one is added, and removed when it is closed
     */
    DrivenJournal(GroupCommitJournal journal, Set<DrivenJournal> open) {
        mJournal = journal;
        mOpen = open;
        mOpen.add(this);
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
    public int segments() {
        return mJournal.segments();
    }

    @Override
    public void close() {
        mJournal.close();
        mOpen.remove(this);
    }
}
