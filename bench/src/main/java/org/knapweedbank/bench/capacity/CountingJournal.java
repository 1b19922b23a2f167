package org.knapweedbank.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.knapweedbank.control.ControllerOutput;
import org.knapweedbank.control.JournalCodec;
import org.knapweedbank.control.JournalRecord;

/**
 * Journal in memory that counts records and bytes, and commits only when {@link #commit()} is
 * called.
 */
final class CountingJournal implements ControllerOutput {
    /** Callbacks of the records that are not committed yet. */
    private final Deque<Runnable> mCommitCallbacks = new ArrayDeque<>();

    private final List<byte[]> mEncodedRecords = new ArrayList<>();
    private long mRecordCount;
    private long mByteCount;

    @Override
    public boolean append(JournalRecord record, Runnable committed) {
        byte[] bytes = JournalCodec.encode(record);
        mRecordCount++;
        mByteCount += bytes.length;
        mEncodedRecords.add(bytes);
        mCommitCallbacks.add(committed);
        return true;
    }

    @Override
    public int pendingAppendCount() {
        return mCommitCallbacks.size();
    }

    /** Commits all pending records, including those that the callbacks append. */
    void commit() {
        while (!mCommitCallbacks.isEmpty()) {
            mCommitCallbacks.remove().run();
        }
    }

    /** Returns the number of appended records. */
    long records() {
        return mRecordCount;
    }

    /** Returns the size of all appended records in bytes. */
    long bytes() {
        return mByteCount;
    }

    /** Returns all appended records, decoded, in the order of their append. */
    List<JournalRecord> replay() {
        return mEncodedRecords.stream().map(JournalCodec::decode).toList();
    }
}
