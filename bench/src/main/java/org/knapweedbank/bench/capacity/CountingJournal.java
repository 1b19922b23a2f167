package org.knapweedbank.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.knapweedbank.control.ControllerOutput;
import org.knapweedbank.control.JournalCodec;
import org.knapweedbank.control.JournalRecord;

/** Journal in memory that counts records and bytes, and commits when told to. */
final class CountingJournal implements ControllerOutput {
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
    public int pendingAppends() {
        return mCommitCallbacks.size();
    }

    void commit() {
        while (!mCommitCallbacks.isEmpty()) {
            mCommitCallbacks.remove().run();
        }
    }

    long records() {
        return mRecordCount;
    }

    long bytes() {
        return mByteCount;
    }

    List<JournalRecord> replay() {
        return mEncodedRecords.stream().map(JournalCodec::decode).toList();
    }
}
