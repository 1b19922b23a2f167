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
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private final List<byte[]> mLog = new ArrayList<>();
    private long mRecords;
    private long mBytes;

    @Override
    public boolean append(JournalRecord record, Runnable committed) {
        byte[] bytes = JournalCodec.encode(record);
        mRecords++;
        mBytes += bytes.length;
        mLog.add(bytes);
        mWaiting.add(committed);
        return true;
    }

    @Override
    public int pendingAppends() {
        return mWaiting.size();
    }

    void commit() {
        while (!mWaiting.isEmpty()) {
            mWaiting.remove().run();
        }
    }

    long records() {
        return mRecords;
    }

    long bytes() {
        return mBytes;
    }

    List<JournalRecord> replay() {
        return mLog.stream().map(JournalCodec::decode).toList();
    }
}
