package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.Job;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.JobRecords;
import org.knapweedbank.jobs.owner.VmList;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.StoreChange;
import org.knapweedbank.node.store.StoreItem;
import org.knapweedbank.node.store.WriteOutcome;
import org.knapweedbank.time.Clock;

/**
 * Writes the changed records of the owner, several in one change. One change is under way at a
 * time. Each is guarded by the revision of the owner's term and by those of the records, so that a
 * change without an answer can't overwrite a newer record when it is made late.
 */
final class RecordWriter {
    /** Time between the starts of two changes, in which further records gather. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(15);

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Conditions and puts of a job's record. */
    private static final int ENTRIES_PER_RECORD = 2;

    private static final int MAX_JOBS_PER_WRITE =
            (StoreChange.MAX_ENTRIES - 1 - ENTRIES_PER_RECORD) / ENTRIES_PER_RECORD;

    private final JobOwner mOwner;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final Clock mClock;
    private final DecisionLog mLog;
    private final long mTermRevision;
    private final Listener mListener;

    /** Jobs of which a write without an answer may still be made. */
    private final Set<Job> mUncertainJobs = new HashSet<>();

    /** Jobs in the present write. */
    private Set<Job> mJobsInWrite = Set.of();

    private boolean mWriteInProgress;
    private boolean mWriteScheduled;
    private boolean mStopped;
    private long mWriteStartedAtMillis = Long.MIN_VALUE / 2;
    private long mFailingSinceMillis = -1;

    RecordWriter(
            JobOwner owner,
            CoordinationStore store,
            Timers timers,
            Clock clock,
            DecisionLog log,
            long termRevision,
            Listener listener) {
        mOwner = owner;
        mStore = store;
        mTimers = timers;
        mClock = clock;
        mLog = log;
        mTermRevision = termRevision;
        mListener = listener;
    }

    void stop() {
        mStopped = true;
    }

    /** How long the store has not taken a write, whether it fails or does not answer. */
    Duration failingTime() {
        long since =
                mFailingSinceMillis >= 0
                        ? mFailingSinceMillis
                        : mWriteInProgress ? mWriteStartedAtMillis : -1;
        return since < 0 ? Duration.ZERO : Duration.ofMillis(mClock.monotonicMillis() - since);
    }

    /** Tells whether the last write had an outcome other than success. */
    boolean lastWriteFailed() {
        return mFailingSinceMillis >= 0;
    }

    /** Tells whether a write of the job is under way or may still be made. */
    boolean isUncertain(Job job) {
        return mUncertainJobs.contains(job) || mJobsInWrite.contains(job);
    }

    boolean isIdle() {
        return !mWriteInProgress && !mOwner.vmList().dirty() && mOwner.unwritten(1).isEmpty();
    }

    /** Writes what has changed, now or as soon as the present change is done. */
    void writeChanges() {
        if (mWriteInProgress || mWriteScheduled || mStopped) {
            return;
        }
        long wait = mWriteStartedAtMillis + BATCH_INTERVAL.toMillis() - mClock.monotonicMillis();
        if (wait > 0) {
            writeAfter(Duration.ofMillis(wait));
        } else {
            write();
        }
    }

    private void writeAfter(Duration wait) {
        mWriteScheduled = true;
        mTimers.after(
                wait,
                () -> {
                    mWriteScheduled = false;
                    if (!mWriteInProgress && !mStopped) {
                        write();
                    }
                });
    }

    private void write() {
        List<Job> jobs = selectJobs();
        VmList list = mOwner.vmList();
        List<Job> expired = jobs.isEmpty() ? mOwner.expired() : List.of();
        if (jobs.isEmpty() && !list.dirty() && expired.isEmpty()) {
            return;
        }
        StoreChange change = new StoreChange().expect(StoreKeys.TERM, mTermRevision);
        Map<Job, Long> versions = new HashMap<>();
        for (Job job : jobs) {
            versions.put(job, job.version());
            change.expect(StoreKeys.job(job.id()), job.revision());
            change.put(StoreKeys.job(job.id()), JobRecords.encode(job), 0);
        }
        long listVersion = list.dirty() ? list.version() : -1;
        if (list.dirty()) {
            change.expect(StoreKeys.VMS, list.revision()).put(StoreKeys.VMS, list.encode(), 0);
        }
        List<Job> removed =
                new ArrayList<>(expired.subList(0, Math.min(MAX_JOBS_PER_WRITE, expired.size())));
        removed.forEach(
                job ->
                        change.expect(StoreKeys.job(job.id()), job.revision())
                                .remove(StoreKeys.job(job.id())));
        mWriteInProgress = true;
        mJobsInWrite = versions.keySet();
        mWriteStartedAtMillis = mClock.monotonicMillis();
        mStore.write(change, outcome -> writeFinished(versions, listVersion, removed, outcome));
    }

    /**
     * Jobs of the next write. While writes fail, new jobs stay out of it, so that they can be
     * refused as not accepted; a single one serves to find out whether the store is back.
     */
    private List<Job> selectJobs() {
        if (mFailingSinceMillis < 0) {
            return mOwner.unwritten(MAX_JOBS_PER_WRITE);
        }
        List<Job> unwritten = mOwner.unwritten(Integer.MAX_VALUE);
        List<Job> candidates =
                unwritten.stream()
                        .filter(job -> job.storedVersion() > 0 || mUncertainJobs.contains(job))
                        .limit(MAX_JOBS_PER_WRITE)
                        .toList();
        return candidates.isEmpty() ? unwritten.stream().limit(1).toList() : candidates;
    }

    private void writeFinished(
            Map<Job, Long> versions, long listVersion, List<Job> removed, WriteOutcome outcome) {
        mWriteInProgress = false;
        mJobsInWrite = Set.of();
        if (mStopped) {
            return;
        }
        if (outcome instanceof WriteOutcome.Unknown) {
            mUncertainJobs.addAll(versions.keySet());
        }
        if (!(outcome instanceof WriteOutcome.Written)) {
            recordFailure(outcome);
        }
        switch (outcome) {
            case WriteOutcome.Written written -> {
                mFailingSinceMillis = -1;
                long revision = written.revision();
                versions.forEach((job, version) -> mOwner.written(job, version, revision));
                mUncertainJobs.removeAll(versions.keySet());
                if (listVersion >= 0) {
                    mOwner.listWritten(listVersion, revision);
                }
                removed.forEach(mOwner::withdraw);
                mOwner.confirmed();
                mListener.recordsWritten();
                writeChanges();
            }
            case WriteOutcome.Conflict conflict -> handleConflict(versions, listVersion, conflict);
            case WriteOutcome.Unknown ignored -> writeAfter(RETRY_DELAY);
            case WriteOutcome.NotDone ignored -> writeAfter(RETRY_DELAY);
            case WriteOutcome.LeaseEnded ignored -> writeAfter(RETRY_DELAY);
        }
    }

    private void recordFailure(WriteOutcome outcome) {
        if (mFailingSinceMillis < 0) {
            mFailingSinceMillis = mWriteStartedAtMillis;
            mLog.record("writer.failing", "store", "outcome", outcome);
        }
        mListener.writeFailed();
    }

    /**
     * Either a later owner exists, or an earlier change without an answer was made after all: then
     * the revisions of its records are taken over and the records are written again.
     */
    private void handleConflict(
            Map<Job, Long> versions, long listVersion, WriteOutcome.Conflict conflict) {
        Map<String, StoreItem> items = new HashMap<>();
        conflict.items().forEach(item -> items.put(item.key(), item));
        StoreItem term = items.get(StoreKeys.TERM);
        if (term == null || term.revision() != mTermRevision) {
            mLog.record("writer.deposed", mTermRevision);
            mStopped = true;
            mListener.deposed();
            return;
        }
        versions.keySet()
                .forEach(
                        job -> {
                            StoreItem item = items.get(StoreKeys.job(job.id()));
                            mOwner.written(job, 0, item == null ? 0 : item.revision());
                        });
        if (listVersion >= 0) {
            StoreItem item = items.get(StoreKeys.VMS);
            mOwner.listWritten(0, item == null ? 0 : item.revision());
        }
        writeAfter(RETRY_DELAY);
    }

    /** Receives the outcome of writes. */
    interface Listener {
        /** Records are stored. */
        void recordsWritten();

        /** A write has failed and is repeated. */
        void writeFailed();

        /** A later owner has begun its term. */
        void deposed();
    }
}
