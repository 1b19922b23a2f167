package org.knapweedbank.node.entry;

import java.time.Duration;
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
import org.knapweedbank.time.Timestamp;

/**
 * Writes the owner's changed records to the store in batches, one batch at a time. Each batch is
 * conditional on the revisions of the owner's term and of its records, so that a write without an
 * answer can't overwrite a newer record if the store applies it late.
 */
final class RecordWriter {
    /** Minimum time between the starts of two writes, in which changed records are collected. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(15);

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Minimum time between two searches for jobs whose retention is over. */
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Entries of a store change that each job record takes: one condition and one put. */
    private static final int ENTRIES_PER_RECORD = 2;

    /** Jobs that fit into a change beside the condition on the term and the list of VMs. */
    private static final int MAX_JOBS_PER_WRITE =
            (StoreChange.MAX_ENTRIES - 1 - ENTRIES_PER_RECORD) / ENTRIES_PER_RECORD;

    private final JobOwner mOwner;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final Clock mClock;
    private final DecisionLog mLog;
    private final long mTermRevision;
    private final Listener mListener;

    /** Jobs with an unanswered write that the store may still apply. */
    private final Set<Job> mUncertainJobs = new HashSet<>();

    /** Jobs in the write in progress. */
    private Set<Job> mJobsInWrite = Set.of();

    private boolean mWriteInProgress;
    private boolean mWriteScheduled;
    private boolean mStopped;
    private long mWriteStartedAtMillis = Long.MIN_VALUE / 2;
    private long mExpiryCheckedAtMillis = Long.MIN_VALUE / 2;

    /** Start of the first of the failed writes in a row, -1 if the last write succeeded. */
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

    /** Returns how long no write has succeeded, whether writes fail or get no answer. */
    Duration failingTime() {
        long sinceMillis =
                mFailingSinceMillis >= 0
                        ? mFailingSinceMillis
                        : mWriteInProgress ? mWriteStartedAtMillis : -1;
        return sinceMillis < 0
                ? Duration.ZERO
                : Duration.ofMillis(mClock.monotonicMillis() - sinceMillis);
    }

    /** Returns whether the last completed write did not succeed. */
    boolean lastWriteFailed() {
        return mFailingSinceMillis >= 0;
    }

    /** Returns whether a write of the job is in progress or may still be applied. */
    boolean isUncertain(Job job) {
        return mUncertainJobs.contains(job) || mJobsInWrite.contains(job);
    }

    /** Returns whether all records are stored and no write is in progress. */
    boolean isIdle() {
        return !mWriteInProgress && !mOwner.vmList().dirty() && mOwner.dirtyJobs(1).isEmpty();
    }

    /** Writes the changed records, at once or when the write in progress or the interval ends. */
    void writeChanges() {
        if (mWriteInProgress || mWriteScheduled || mStopped) {
            return;
        }
        long waitMillis =
                mWriteStartedAtMillis + BATCH_INTERVAL.toMillis() - mClock.monotonicMillis();
        if (waitMillis > 0) {
            writeAfter(Duration.ofMillis(waitMillis));
        } else {
            write();
        }
    }

    private void writeAfter(Duration delay) {
        mWriteScheduled = true;
        mTimers.after(
                delay,
                () -> {
                    mWriteScheduled = false;
                    if (!mWriteInProgress && !mStopped) {
                        write();
                    }
                });
    }

    private void write() {
        List<Job> jobs = selectJobs();
        VmList vmList = mOwner.vmList();
        List<Job> removedJobs = selectExpired(MAX_JOBS_PER_WRITE - jobs.size());
        if (jobs.isEmpty() && !vmList.dirty() && removedJobs.isEmpty()) {
            return;
        }
        StoreChange change = new StoreChange().expect(StoreKeys.TERM, mTermRevision);
        Map<Job, Long> versions = new HashMap<>();
        for (Job job : jobs) {
            versions.put(job, job.version());
            change.expect(StoreKeys.job(job.id()), job.revision());
            change.put(StoreKeys.job(job.id()), JobRecords.encode(job), 0);
        }
        long vmListVersion = vmList.dirty() ? vmList.version() : -1;
        if (vmList.dirty()) {
            change.expect(StoreKeys.VMS, vmList.revision()).put(StoreKeys.VMS, vmList.encode(), 0);
        }
        removedJobs.forEach(
                job ->
                        change.expect(StoreKeys.job(job.id()), job.revision())
                                .remove(StoreKeys.job(job.id())));
        mWriteInProgress = true;
        mJobsInWrite = versions.keySet();
        mWriteStartedAtMillis = mClock.monotonicMillis();
        Timestamp sentAt = Timestamp.now(mClock);
        mStore.write(
                change,
                outcome -> writeFinished(versions, vmListVersion, removedJobs, sentAt, outcome));
    }

    /**
     * Returns the jobs of the next write. While writes fail, new jobs are left out, so that they
     * can still be refused as not accepted. If there are only new jobs, one of them is written to
     * probe whether the store is available again.
     */
    private List<Job> selectJobs() {
        if (mFailingSinceMillis < 0) {
            return mOwner.jobsToWrite(MAX_JOBS_PER_WRITE);
        }
        List<Job> dirtyJobs = mOwner.dirtyJobs(Integer.MAX_VALUE);
        List<Job> candidates =
                dirtyJobs.stream()
                        .filter(job -> job.storedVersion() > 0 || mUncertainJobs.contains(job))
                        .limit(MAX_JOBS_PER_WRITE)
                        .toList();
        return candidates.isEmpty() ? dirtyJobs.stream().limit(1).toList() : candidates;
    }

    /** Returns expired jobs to remove, as far as the change has room; looks for them rarely. */
    private List<Job> selectExpired(int limit) {
        long nowMillis = mClock.monotonicMillis();
        boolean due = nowMillis - mExpiryCheckedAtMillis >= EXPIRY_CHECK_INTERVAL.toMillis();
        if (!due || limit == 0 || mFailingSinceMillis >= 0) {
            return List.of();
        }
        mExpiryCheckedAtMillis = nowMillis;
        return mOwner.expired().stream().limit(limit).toList();
    }

    private void writeFinished(
            Map<Job, Long> versions,
            long vmListVersion,
            List<Job> removedJobs,
            Timestamp sentAt,
            WriteOutcome outcome) {
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
                versions.forEach((job, version) -> mOwner.markWritten(job, version, revision));
                mUncertainJobs.removeAll(versions.keySet());
                if (vmListVersion >= 0) {
                    mOwner.markVmListWritten(vmListVersion, revision);
                }
                removedJobs.forEach(mOwner::removeJob);
                mOwner.confirmByWrite(sentAt);
                mListener.recordsWritten();
                writeChanges();
            }
            case WriteOutcome.Conflict conflict ->
                    handleConflict(versions, vmListVersion, conflict);
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
     * Handles a failed condition. If the term key has changed, a later owner exists. Otherwise an
     * earlier write without an answer was applied after all; the current revisions are adopted and
     * the records are written again.
     */
    private void handleConflict(
            Map<Job, Long> versions, long vmListVersion, WriteOutcome.Conflict conflict) {
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
                            mOwner.markWritten(job, 0, item == null ? 0 : item.revision());
                        });
        if (vmListVersion >= 0) {
            StoreItem item = items.get(StoreKeys.VMS);
            mOwner.markVmListWritten(0, item == null ? 0 : item.revision());
        }
        writeAfter(RETRY_DELAY);
    }

    /** Receives the outcomes of writes. */
    interface Listener {
        /** A write has succeeded. */
        void recordsWritten();

        /** A write has failed or got no answer; it will be repeated. */
        void writeFailed();

        /** The store has a later term, so this owner may no longer write. */
        void deposed();
    }
}
