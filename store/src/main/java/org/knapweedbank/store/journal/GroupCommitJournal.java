package org.knapweedbank.store.journal;

import io.smallrye.mutiny.Uni;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.Clock;

/**
 * Journal that writes the records of each commit interval as one log segment. {@link #tick()} has
 * to be called every few milliseconds to send the writes that are due. Listeners are called on the
 * thread that calls this class or on the thread of the store. Thread-safe.
 */
public final class GroupCommitJournal implements PartitionJournal {
    private static final Logger LOG = LogManager.getLogger(GroupCommitJournal.class);

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final JournalSettings mSettings;
    private final Ownership mOwnership;
    private final Compare mEpochGuard;
    private final JournalKeys mKeys;
    private final GuardedWriter mWriter;
    private final Deque<PendingRecord> mPendingRecords = new ArrayDeque<>();
    private List<PendingRecord> mInFlightRecords = List.of();
    private Compaction mCompaction;

    /** Time from which the commit interval counts: when a record was added to the empty queue. */
    private long mPendingSinceNanos;

    private long mAppendedRecords;
    private long mCommittedRecords;

    /** Sequence number of the last committed segment, or -1 before the journal is loaded. */
    private long mLastSequence = -1;

    private int mSegmentCount;
    private boolean mFenced;
    private boolean mClosed;
    private boolean mNotifyingListeners;

    /** A record that is not committed yet. */
    private record PendingRecord(byte[] bytes, Consumer<JournalOutcome> listener) {}

    /** A snapshot that waits to be written or is being written. */
    private static final class Compaction {
        private final byte[] mSnapshot;

        /** Number of records appended before the snapshot, whose effect it includes. */
        private final long mIncludedRecords;

        private final Consumer<JournalOutcome> mListener;
        private List<byte[]> mParts;
        private int mPartsWritten;
        private boolean mHeadSent;

        private Compaction(
                byte[] snapshot, long includedRecords, Consumer<JournalOutcome> listener) {
            mSnapshot = snapshot;
            mIncludedRecords = includedRecords;
            mListener = listener;
        }
    }

    /**
     * Creates the journal of an owned partition. It has to be loaded before records are appended.
     *
     * @param store the store
     * @param clock measures the commit interval and the retry delays
     * @param ownership ownership of the partition, whose epoch revision guards the writes
     * @param settings limits of the journal
     */
    public GroupCommitJournal(
            KeyValueStore store, Clock clock, Ownership ownership, JournalSettings settings) {
        mStore = store;
        mClock = clock;
        mSettings = settings;
        mOwnership = ownership;
        mKeys = new JournalKeys(ownership.partition());
        mEpochGuard =
                new Compare.ModifiedAt(
                        StoreOwnership.epochKey(ownership.partition()), ownership.epochRevision());
        mWriter = new GuardedWriter(store, clock, settings.retryDelay(), this::onWriteEnded);
    }

    @Override
    public Uni<StoreResult<JournalContents>> load() {
        return new JournalReader(mStore, mKeys)
                .read()
                .map(result -> result.map(this::handleLoaded));
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException if the journal has not been loaded
     * @throws IllegalArgumentException if the record does not fit into a value of the store
     */
    @Override
    public boolean append(byte[] record, Consumer<JournalOutcome> listener) {
        if (Segment.OVERHEAD_BYTES + Segment.encodedRecordBytes(record)
                > mSettings.maxValueBytes()) {
            throw new IllegalArgumentException(
                    "journal record is too large: " + record.length + " bytes");
        }
        JournalOutcome stoppedOutcome;
        synchronized (this) {
            requireLoaded();
            stoppedOutcome = outcomeIfStopped();
            if (stoppedOutcome == null) {
                if (mPendingRecords.size() >= mSettings.maxPendingRecords()) {
                    return false;
                }
                if (mPendingRecords.isEmpty()) {
                    mPendingSinceNanos = mClock.monotonicNanos();
                }
                mPendingRecords.add(new PendingRecord(record, listener));
                mAppendedRecords++;
            }
        }
        if (stoppedOutcome != null) {
            listener.accept(stoppedOutcome);
        }
        return true;
    }

    @Override
    public boolean compact(byte[] snapshot, Consumer<JournalOutcome> listener) {
        JournalOutcome stoppedOutcome;
        synchronized (this) {
            requireLoaded();
            stoppedOutcome = outcomeIfStopped();
            if (stoppedOutcome == null) {
                if (mCompaction != null) {
                    return false;
                }
                mCompaction = new Compaction(snapshot, mAppendedRecords, listener);
            }
        }
        if (stoppedOutcome != null) {
            listener.accept(stoppedOutcome);
        }
        return true;
    }

    @Override
    public synchronized int segmentCount() {
        return mSegmentCount;
    }

    /** Sends the write that is due, if any. Has to be called every few milliseconds. */
    public void tick() {
        mWriter.tick();
        JournalWrite write;
        synchronized (this) {
            // The next write starts after the outcomes of the last one have been reported, so that
            // listeners are called in order.
            if (mClosed || mFenced || mNotifyingListeners || !mWriter.isIdle()) {
                return;
            }
            write = nextWrite();
        }
        if (write != null) {
            mWriter.start(write);
        }
    }

    @Override
    public void close() {
        List<Consumer<JournalOutcome>> listeners;
        synchronized (this) {
            if (mClosed) {
                return;
            }
            mClosed = true;
            mWriter.abandon();
            listeners = removeListeners();
        }
        listeners.forEach(listener -> notifyListener(listener, new JournalOutcome.Closed()));
    }

    private synchronized JournalContents handleLoaded(JournalReader.ReadResult readResult) {
        mLastSequence = readResult.lastSequence();
        mSegmentCount = readResult.segments();
        return readResult.contents();
    }

    private void requireLoaded() {
        if (mLastSequence < 0) {
            throw new IllegalStateException("the journal has not been loaded");
        }
    }

    private JournalOutcome outcomeIfStopped() {
        if (mFenced) {
            return new JournalOutcome.Fenced();
        }
        return mClosed ? new JournalOutcome.Closed() : null;
    }

    private JournalWrite nextWrite() {
        if (mCompaction != null && mCommittedRecords >= mCompaction.mIncludedRecords) {
            return nextCompactionWrite();
        }
        boolean intervalElapsed =
                mClock.monotonicNanos() - mPendingSinceNanos
                        >= mSettings.commitInterval().toNanos();
        if (mPendingRecords.isEmpty() || !(intervalElapsed || mCompaction != null)) {
            return null;
        }
        mInFlightRecords = takeSegmentRecords();
        long sequence = mLastSequence + 1;
        List<byte[]> records = mInFlightRecords.stream().map(PendingRecord::bytes).toList();
        byte[] value = new Segment(mOwnership.epoch(), sequence, records).encode();
        return new JournalWrite(mEpochGuard, mKeys.segmentKey(sequence), value, true, List.of());
    }

    /**
     * Removes the records of the next segment from the queue. If a snapshot waits to be written,
     * the segment ends with the last record that the snapshot includes.
     */
    private List<PendingRecord> takeSegmentRecords() {
        List<PendingRecord> segmentRecords = new ArrayList<>();
        int segmentBytes = Segment.OVERHEAD_BYTES;
        long recordsUntilSnapshot =
                mCompaction == null
                        ? Long.MAX_VALUE
                        : mCompaction.mIncludedRecords - mCommittedRecords;
        while (!mPendingRecords.isEmpty() && segmentRecords.size() < recordsUntilSnapshot) {
            segmentBytes += Segment.encodedRecordBytes(mPendingRecords.peek().bytes);
            if (!segmentRecords.isEmpty() && segmentBytes > mSettings.maxSegmentBytes()) {
                break;
            }
            segmentRecords.add(mPendingRecords.poll());
        }
        return segmentRecords;
    }

    private JournalWrite nextCompactionWrite() {
        Compaction compaction = mCompaction;
        long epoch = mOwnership.epoch();
        if (compaction.mParts == null) {
            int inlineLimit = mSettings.maxValueBytes() - SnapshotHead.OVERHEAD_BYTES;
            compaction.mParts =
                    compaction.mSnapshot.length <= inlineLimit
                            ? List.of()
                            : JournalReader.splitIntoParts(compaction.mSnapshot, inlineLimit);
        }
        if (compaction.mPartsWritten < compaction.mParts.size()) {
            int index = compaction.mPartsWritten;
            String key = mKeys.partKey(epoch, mLastSequence, index);
            byte[] part = compaction.mParts.get(index);
            return new JournalWrite(mEpochGuard, key, part, false, List.of());
        }
        compaction.mHeadSent = true;
        boolean inline = compaction.mParts.isEmpty();
        byte[] inlineBytes = inline ? compaction.mSnapshot : new byte[0];
        SnapshotHead head =
                new SnapshotHead(epoch, mLastSequence, compaction.mParts.size(), inlineBytes);
        return new JournalWrite(
                mEpochGuard,
                mKeys.snapshotKey(),
                head.encode(),
                false,
                obsoleteKeyDeletions(epoch));
    }

    /**
     * Returns deletions of the segments that the snapshot includes and of other snapshots' parts.
     */
    private List<Operation> obsoleteKeyDeletions(long epoch) {
        String keptPartsPrefix = mKeys.snapshotPartKeyPrefix(epoch, mLastSequence);
        return List.of(
                new Operation.DeleteRange(mKeys.segmentKey(0), mKeys.segmentKey(mLastSequence + 1)),
                new Operation.DeleteRange(mKeys.partKeyPrefix(), keptPartsPrefix),
                new Operation.DeleteRange(
                        KeyPrefix.rangeEnd(keptPartsPrefix),
                        KeyPrefix.rangeEnd(mKeys.partKeyPrefix())));
    }

    private void onWriteEnded(boolean committed) {
        List<Consumer<JournalOutcome>> listeners;
        synchronized (this) {
            if (mClosed) {
                return;
            }
            mNotifyingListeners = true;
            listeners = committed ? handleCommitted() : handleFenced();
        }
        JournalOutcome outcome =
                committed ? new JournalOutcome.Committed() : new JournalOutcome.Fenced();
        listeners.forEach(listener -> notifyListener(listener, outcome));
        synchronized (this) {
            mNotifyingListeners = false;
        }
    }

    private List<Consumer<JournalOutcome>> handleCommitted() {
        if (mInFlightRecords.isEmpty()) {
            return handleCompactionStepCommitted();
        }
        List<Consumer<JournalOutcome>> listeners =
                mInFlightRecords.stream().map(PendingRecord::listener).toList();
        mCommittedRecords += mInFlightRecords.size();
        mInFlightRecords = List.of();
        mLastSequence++;
        mSegmentCount++;
        return listeners;
    }

    private List<Consumer<JournalOutcome>> handleCompactionStepCommitted() {
        Compaction compaction = mCompaction;
        if (!compaction.mHeadSent) {
            compaction.mPartsWritten++;
            return List.of();
        }
        mCompaction = null;
        mSegmentCount = 0;
        return List.of(compaction.mListener);
    }

    private List<Consumer<JournalOutcome>> handleFenced() {
        LOG.warn(
                "[store] journal of partition {} was fenced at epoch {}: another entry owns the"
                        + " partition",
                mOwnership.partition(),
                mOwnership.epoch());
        mFenced = true;
        return removeListeners();
    }

    private List<Consumer<JournalOutcome>> removeListeners() {
        List<Consumer<JournalOutcome>> listeners = new ArrayList<>();
        mInFlightRecords.forEach(pending -> listeners.add(pending.listener));
        mPendingRecords.forEach(pending -> listeners.add(pending.listener));
        if (mCompaction != null) {
            listeners.add(mCompaction.mListener);
        }
        mInFlightRecords = List.of();
        mPendingRecords.clear();
        mCompaction = null;
        return listeners;
    }

    private static void notifyListener(Consumer<JournalOutcome> listener, JournalOutcome outcome) {
        try {
            listener.accept(outcome);
        } catch (RuntimeException e) {
            LOG.error("[store] listener of a journal write threw an exception", e);
        }
    }
}
