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
 * Journal that writes the records of each commit interval as one log segment. {@link #tick()}
 * drives it and has to be called every few milliseconds; outcomes are reported on the thread of
 * that call or on the store's. Thread-safe.
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
    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private List<Waiting> mInFlight = List.of();
    private Compaction mCompaction;
    private long mWaitingSince;
    private long mAppended;
    private long mCommitted;
    private long mLastSequence = -1;
    private int mSegments;
    private boolean mFenced;
    private boolean mClosed;
    private boolean mReporting;

    /** A record that is not written yet. */
    private record Waiting(byte[] bytes, Consumer<JournalOutcome> listener) {}

    /** A snapshot that is being written. */
    private static final class Compaction {
        private final byte[] mSnapshot;
        private final long mCovers;
        private final Consumer<JournalOutcome> mListener;
        private List<byte[]> mParts;
        private int mPartsWritten;
        private boolean mHeadSent;

        private Compaction(byte[] snapshot, long covers, Consumer<JournalOutcome> listener) {
            mSnapshot = snapshot;
            mCovers = covers;
            mListener = listener;
        }
    }

    /**
     * Creates the journal of an ownership. It has to be loaded before records are appended.
     *
     * @param store the store
     * @param clock measures the commit interval and retry delays
     * @param ownership the ownership, whose epoch revision guards the writes
     * @param settings limits
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
        mWriter = new GuardedWriter(store, clock, settings.retryDelay(), this::ended);
    }

    @Override
    public Uni<StoreResult<JournalContents>> load() {
        return new JournalReader(mStore, mKeys).read().map(result -> result.map(this::loaded));
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException when the journal has not been loaded
     * @throws IllegalArgumentException when the record is larger than a value of the store
     */
    @Override
    public boolean append(byte[] record, Consumer<JournalOutcome> listener) {
        if (Segment.OVERHEAD_BYTES + Segment.encodedBytes(record) > mSettings.maxValueBytes()) {
            throw new IllegalArgumentException("record is too large: " + record.length + " bytes");
        }
        JournalOutcome refused;
        synchronized (this) {
            requireLoaded();
            refused = refusal();
            if (refused == null) {
                if (mWaiting.size() >= mSettings.maxWaiting()) {
                    return false;
                }
                if (mWaiting.isEmpty()) {
                    mWaitingSince = mClock.monotonicNanos();
                }
                mWaiting.add(new Waiting(record, listener));
                mAppended++;
            }
        }
        if (refused != null) {
            listener.accept(refused);
        }
        return true;
    }

    @Override
    public boolean compact(byte[] snapshot, Consumer<JournalOutcome> listener) {
        JournalOutcome refused;
        synchronized (this) {
            requireLoaded();
            refused = refusal();
            if (refused == null) {
                if (mCompaction != null) {
                    return false;
                }
                mCompaction = new Compaction(snapshot, mAppended, listener);
            }
        }
        if (refused != null) {
            listener.accept(refused);
        }
        return true;
    }

    @Override
    public synchronized int segments() {
        return mSegments;
    }

    /** Writes what is due. To be called every few milliseconds. */
    public void tick() {
        mWriter.tick();
        JournalWrite write;
        synchronized (this) {
            // Outcomes are reported before the next write begins, so that they stay in order.
            if (mClosed || mFenced || mReporting || !mWriter.idle()) {
                return;
            }
            write = nextWrite();
        }
        if (write != null) {
            mWriter.begin(write);
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
            listeners = takeListeners();
        }
        listeners.forEach(listener -> notify(listener, new JournalOutcome.Closed()));
    }

    private synchronized JournalContents loaded(JournalReader.Loaded loaded) {
        mLastSequence = loaded.lastSequence();
        mSegments = loaded.segments();
        return loaded.contents();
    }

    private void requireLoaded() {
        if (mLastSequence < 0) {
            throw new IllegalStateException("the journal has not been loaded");
        }
    }

    private JournalOutcome refusal() {
        if (mFenced) {
            return new JournalOutcome.Fenced();
        }
        return mClosed ? new JournalOutcome.Closed() : null;
    }

    private JournalWrite nextWrite() {
        if (mCompaction != null && mCommitted >= mCompaction.mCovers) {
            return compactionWrite();
        }
        boolean due =
                mClock.monotonicNanos() - mWaitingSince >= mSettings.commitInterval().toNanos();
        if (mWaiting.isEmpty() || !(due || mCompaction != null)) {
            return null;
        }
        mInFlight = takeSegment();
        long sequence = mLastSequence + 1;
        List<byte[]> records = mInFlight.stream().map(Waiting::bytes).toList();
        byte[] value = new Segment(mOwnership.epoch(), sequence, records).encode();
        return new JournalWrite(mEpochGuard, mKeys.segment(sequence), value, true, List.of());
    }

    /** Takes the records of the next segment, which ends where a snapshot is to be made. */
    private List<Waiting> takeSegment() {
        List<Waiting> taken = new ArrayList<>();
        int bytes = Segment.OVERHEAD_BYTES;
        long untilSnapshot =
                mCompaction == null ? Long.MAX_VALUE : mCompaction.mCovers - mCommitted;
        while (!mWaiting.isEmpty() && taken.size() < untilSnapshot) {
            bytes += Segment.encodedBytes(mWaiting.peek().bytes);
            if (!taken.isEmpty() && bytes > mSettings.maxSegmentBytes()) {
                break;
            }
            taken.add(mWaiting.poll());
        }
        return taken;
    }

    private JournalWrite compactionWrite() {
        Compaction compaction = mCompaction;
        long epoch = mOwnership.epoch();
        if (compaction.mParts == null) {
            int inlineLimit = mSettings.maxValueBytes() - SnapshotHead.OVERHEAD_BYTES;
            compaction.mParts =
                    compaction.mSnapshot.length <= inlineLimit
                            ? List.of()
                            : JournalReader.split(compaction.mSnapshot, inlineLimit);
        }
        if (compaction.mPartsWritten < compaction.mParts.size()) {
            int index = compaction.mPartsWritten;
            String key = mKeys.part(epoch, mLastSequence, index);
            byte[] part = compaction.mParts.get(index);
            return new JournalWrite(mEpochGuard, key, part, false, List.of());
        }
        compaction.mHeadSent = true;
        boolean inline = compaction.mParts.isEmpty();
        byte[] bytes = inline ? compaction.mSnapshot : new byte[0];
        SnapshotHead head = new SnapshotHead(epoch, mLastSequence, compaction.mParts.size(), bytes);
        return new JournalWrite(
                mEpochGuard, mKeys.snapshot(), head.encode(), false, deletions(epoch));
    }

    /** Deletes the segments that the snapshot contains, and the parts of other snapshots. */
    private List<Operation> deletions(long epoch) {
        String parts = mKeys.partsPrefix(epoch, mLastSequence);
        return List.of(
                new Operation.DeleteRange(mKeys.segment(0), mKeys.segment(mLastSequence + 1)),
                new Operation.DeleteRange(mKeys.partsPrefix(), parts),
                new Operation.DeleteRange(
                        KeyPrefix.end(parts), KeyPrefix.end(mKeys.partsPrefix())));
    }

    private void ended(boolean committed) {
        List<Consumer<JournalOutcome>> listeners;
        synchronized (this) {
            if (mClosed) {
                return;
            }
            mReporting = true;
            listeners = committed ? committed() : fenced();
        }
        JournalOutcome outcome =
                committed ? new JournalOutcome.Committed() : new JournalOutcome.Fenced();
        listeners.forEach(listener -> notify(listener, outcome));
        synchronized (this) {
            mReporting = false;
        }
    }

    private List<Consumer<JournalOutcome>> committed() {
        if (mInFlight.isEmpty()) {
            return compactionStepCommitted();
        }
        List<Consumer<JournalOutcome>> listeners =
                mInFlight.stream().map(Waiting::listener).toList();
        mCommitted += mInFlight.size();
        mInFlight = List.of();
        mLastSequence++;
        mSegments++;
        return listeners;
    }

    private List<Consumer<JournalOutcome>> compactionStepCommitted() {
        Compaction compaction = mCompaction;
        if (!compaction.mHeadSent) {
            compaction.mPartsWritten++;
            return List.of();
        }
        mCompaction = null;
        mSegments = 0;
        return List.of(compaction.mListener);
    }

    private List<Consumer<JournalOutcome>> fenced() {
        LOG.warn(
                "[store] journal of partition {} is fenced at epoch {}",
                mOwnership.partition(),
                mOwnership.epoch());
        mFenced = true;
        return takeListeners();
    }

    private List<Consumer<JournalOutcome>> takeListeners() {
        List<Consumer<JournalOutcome>> listeners = new ArrayList<>();
        mInFlight.forEach(waiting -> listeners.add(waiting.listener));
        mWaiting.forEach(waiting -> listeners.add(waiting.listener));
        if (mCompaction != null) {
            listeners.add(mCompaction.mListener);
        }
        mInFlight = List.of();
        mWaiting.clear();
        mCompaction = null;
        return listeners;
    }

    private static void notify(Consumer<JournalOutcome> listener, JournalOutcome outcome) {
        try {
            listener.accept(outcome);
        } catch (RuntimeException e) {
            LOG.error("[store] listener of a journal write failed", e);
        }
    }
}
