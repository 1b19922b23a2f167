package org.knapweedbank.jobs.owner;

import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.model.JobId;

/**
 * State of one job in the memory of its owner. Each change to stored state raises the version of
 * the job. A version counts as stored once the store has acknowledged a record that holds it.
 */
public final class Job {
    /**
     * Time for which an unchanged job keeps its computed urgency, in milliseconds. Only the time
     * left until its deadline changes meanwhile.
     */
    private static final long MAX_URGENCY_AGE_MILLIS = 50;

    private final JobSubmission mSubmission;
    private JobQueue mQueue;
    private final Instant mAcceptedAt;
    final List<Occurrence> mOccurrences;

    /** True if a step of the job has long-running tasks. */
    final boolean mHasLongRunning;

    boolean mCancelled;
    boolean mFailed;

    /**
     * True if all tasks of the job had room on VMs for which no work waited, when it was admitted
     * under overload, and none has waited since. Its work does not count in the rate and backlog of
     * its pool, which are those of the work that waits.
     */
    boolean mOnIdleRoom;

    /** True once a task of the job has started. */
    boolean mStarted;

    /**
     * Monotonic time in milliseconds at which a task of the job last ran or, if none has run, at
     * which the job was first considered for placement; -1 before.
     */
    long mLastActiveAt = -1;

    /**
     * Processor time that the batch runs of the job have used under this owner, in
     * core-milliseconds.
     */
    double mUsedCoreMillis;

    /** Urgency at the previous placement, for logging changes; null before the first placement. */
    JobUrgency mPreviousUrgency;

    /**
     * True if the job was loaded from the record of a finished job, which does not hold its tasks.
     */
    boolean mWithoutTasks;

    /** Urgency that was computed last; null before the first time. */
    private JobUrgency mUrgency;

    /** Version for which the urgency was computed. */
    private long mUrgencyVersion;

    /** Monotonic time in milliseconds at which the urgency was computed. */
    private long mUrgencyAt;

    /** True if the job was accepted by an earlier owner and loaded from the store. */
    boolean mLoadedFromStore;

    private long mVersion = 1;
    private long mStoredVersion;

    /** Version in which the job became final; {@code Long.MAX_VALUE} while it is not final. */
    private long mFinalVersion = Long.MAX_VALUE;

    /** Store revision of the stored record. */
    private long mRevision;

    private long mWrittenAt;

    /** Monotonic time in milliseconds at which this owner finished or loaded the final job. */
    private long mFinishedAt;

    Job(JobSubmission submission, JobQueue queue, Instant accepted) {
        mSubmission = submission;
        mQueue = queue;
        mAcceptedAt = accepted;
        mHasLongRunning = submission.steps().stream().anyMatch(step -> step.traits().longRunning());
        mOccurrences =
                IntStream.range(0, submission.timetable().occurrenceCount())
                        .mapToObj(n -> new Occurrence(this, n))
                        .toList();
    }

    /**
     * Returns the identifier of the job.
     *
     * @return the identifier
     */
    public JobId id() {
        return mSubmission.id();
    }

    /**
     * Returns the job as submitted by the caller.
     *
     * @return the submission
     */
    public JobSubmission submission() {
        return mSubmission;
    }

    /**
     * Returns the queue of the job, as in the newest configuration that contains the queue.
     *
     * @return the queue
     */
    public JobQueue queue() {
        return mQueue;
    }

    void setQueue(JobQueue queue) {
        mQueue = queue;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return wall time of the daemon that accepted the job
     */
    public Instant accepted() {
        return mAcceptedAt;
    }

    /**
     * Returns the current version of the job, which has to be stored.
     *
     * @return the version, from 1
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the newest version that is stored.
     *
     * @return the version, 0 while the job is not stored
     */
    public long storedVersion() {
        return mStoredVersion;
    }

    /**
     * Returns the store revision of the stored record.
     *
     * @return the revision, 0 while the job is not stored
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the state that callers see. A final state is visible only once it is stored.
     *
     * @return the state
     */
    public JobState state() {
        if (mStoredVersion >= mFinalVersion) {
            return finalState();
        }
        return mStarted ? JobState.RUNNING : JobState.QUEUED;
    }

    /** Returns whether the state of the job is final, even if it is not stored yet. */
    boolean finished() {
        return mFinalVersion != Long.MAX_VALUE;
    }

    /**
     * Returns the urgency of the job.
     *
     * @param now monotonic time in milliseconds
     * @param computation computes the urgency if the last one is outdated
     */
    JobUrgency urgency(long now, Supplier<JobUrgency> computation) {
        boolean current = mUrgencyVersion == mVersion && now - mUrgencyAt < MAX_URGENCY_AGE_MILLIS;
        if (mUrgency == null || !current) {
            mUrgency = computation.get();
            mUrgencyVersion = mVersion;
            mUrgencyAt = now;
        }
        return mUrgency;
    }

    /** Discards the computed urgency after progress that does not change the stored state. */
    void invalidateUrgency() {
        mUrgency = null;
    }

    boolean stored() {
        return mStoredVersion > 0;
    }

    boolean dirty() {
        return mStoredVersion < mVersion;
    }

    void markChanged() {
        mVersion++;
    }

    /**
     * Marks the job as final. The resulting version has to be stored before callers see the final
     * state.
     */
    void finish(long now) {
        mVersion++;
        mFinalVersion = mVersion;
        mFinishedAt = now;
    }

    long finishedAt() {
        return mFinishedAt;
    }

    /** Returns the monotonic time in milliseconds at which a version was last stored or loaded. */
    long writtenAt() {
        return mWrittenAt;
    }

    /**
     * Records that a record of the job is stored.
     *
     * @param version version that the record holds, 0 if it is not known
     * @param revision store revision of the record
     * @param now monotonic time in milliseconds
     */
    void markWritten(long version, long revision, long now) {
        if (version > 0) {
            mWrittenAt = now;
        }
        mStoredVersion = Math.max(mStoredVersion, version);
        mRevision = revision;
    }

    /**
     * Initializes the version, the revision and the final state of a job that was read from the
     * store.
     */
    void markLoaded(long revision, long now) {
        mStoredVersion = mVersion;
        mRevision = revision;
        mWrittenAt = now;
        mLoadedFromStore = true;
        tasks().forEach(task -> task.mMayRunUnreported = true);
        if (mCancelled || mFailed || complete()) {
            mFinalVersion = mVersion;
            mFinishedAt = now;
        }
    }

    /** Returns whether all tasks of all occurrences are done. */
    boolean complete() {
        return mOccurrences.stream().allMatch(Occurrence::complete);
    }

    /** Returns whether a task of the job has a run. */
    boolean hasRuns() {
        return steps().anyMatch(Step::hasRuns);
    }

    /**
     * Returns whether tasks of the job may start as far as the owner's knowledge of it goes.
     *
     * @param hasUnresolvedVms whether a task that an earlier owner has started may still run on a
     *     VM that has not reported
     */
    boolean mayStart(boolean hasUnresolvedVms) {
        boolean mayRunUnreported = mLoadedFromStore && hasUnresolvedVms;
        return stored() && (!mayRunUnreported || tasks().anyMatch(Task::knownToWait));
    }

    /** Records that no earlier owner can have started a task that runs without being reported. */
    void markAllReported() {
        tasks().forEach(task -> task.mMayRunUnreported = false);
    }

    /** Returns the steps of all occurrences. */
    Stream<Step> steps() {
        return mOccurrences.stream().flatMap(occurrence -> occurrence.mSteps.stream());
    }

    /**
     * Returns the steps with tasks that wait for nothing but a VM.
     *
     * @param now wall time
     */
    Stream<Step> readySteps(Instant now) {
        return mOccurrences.stream()
                .filter(occurrence -> occurrence.due(now))
                .flatMap(occurrence -> occurrence.mSteps.stream())
                .filter(Step::hasReadyTasks);
    }

    Stream<Task> tasks() {
        return steps().flatMap(step -> step.mTasks.stream());
    }

    private JobState finalState() {
        if (mCancelled) {
            return JobState.CANCELLED;
        }
        return mFailed ? JobState.FAILED : JobState.COMPLETED;
    }
}
