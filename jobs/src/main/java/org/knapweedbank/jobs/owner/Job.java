package org.knapweedbank.jobs.owner;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.model.JobId;

/**
 * State of one job in the memory of its owner. Each change of what is stored raises its version; a
 * version counts as stored once the store has acknowledged a record of it.
 */
public final class Job {
    private final JobSubmission mSubmission;
    private JobQueue mQueue;
    private final Instant mAccepted;
    final List<Occurrence> mOccurrences;
    boolean mCancelled;
    boolean mFailed;
    boolean mStarted;

    /** When a task of the job last ran or, if none did, when it was first looked at; -1 before. */
    long mBusyAt = -1;

    /** Processor time of its batch runs under this owner, in core-milliseconds. */
    double mUsedCoreMillis;

    /** Newest rank that was logged; null before the first. */
    JobUrgency mLoggedUrgency;

    /** True for a job that an earlier owner accepted. */
    boolean mInherited;

    private long mVersion = 1;
    private long mStoredVersion;
    private long mFinalVersion = Long.MAX_VALUE;
    private long mRevision;
    private long mFinishedAt;

    Job(JobSubmission submission, JobQueue queue, Instant accepted) {
        mSubmission = submission;
        mQueue = queue;
        mAccepted = accepted;
        mOccurrences =
                IntStream.range(0, submission.timetable().runs())
                        .mapToObj(n -> new Occurrence(this, n))
                        .toList();
    }

    /**
     * Identifier of the job.
     *
     * @return the identifier
     */
    public JobId id() {
        return mSubmission.id();
    }

    /**
     * What the caller submitted.
     *
     * @return the submission
     */
    public JobSubmission submission() {
        return mSubmission;
    }

    /**
     * Queue of the job, as the newest configuration that has it describes it.
     *
     * @return the queue
     */
    public JobQueue queue() {
        return mQueue;
    }

    void queue(JobQueue queue) {
        mQueue = queue;
    }

    /**
     * When the job was accepted.
     *
     * @return wall time of the accepting daemon
     */
    public Instant accepted() {
        return mAccepted;
    }

    /**
     * Version of the state that has to be stored.
     *
     * @return the version, from 1
     */
    public long version() {
        return mVersion;
    }

    /**
     * Newest version that is stored.
     *
     * @return the version, 0 while the job is not stored
     */
    public long storedVersion() {
        return mStoredVersion;
    }

    /**
     * Store revision of the stored record.
     *
     * @return the revision, 0 while the job is not stored
     */
    public long revision() {
        return mRevision;
    }

    /**
     * State for callers. A final state shows only once it is stored.
     *
     * @return the state
     */
    public JobState state() {
        if (mStoredVersion >= mFinalVersion) {
            return finalState();
        }
        return mStarted ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean finished() {
        return mFinalVersion != Long.MAX_VALUE;
    }

    boolean stored() {
        return mStoredVersion > 0;
    }

    boolean dirty() {
        return mStoredVersion < mVersion;
    }

    void changed() {
        mVersion++;
    }

    /** Marks the job as final; its last change is the one that has to be stored. */
    void finish(long now) {
        mVersion++;
        mFinalVersion = mVersion;
        mFinishedAt = now;
    }

    long finishedAt() {
        return mFinishedAt;
    }

    void written(long version, long revision) {
        mStoredVersion = Math.max(mStoredVersion, version);
        mRevision = revision;
    }

    /** Restores the bookkeeping of a job that was read from the store. */
    void loaded(long revision, long now) {
        mStoredVersion = mVersion;
        mRevision = revision;
        mInherited = true;
        if (mCancelled || mFailed || complete()) {
            mFinalVersion = mVersion;
            mFinishedAt = now;
        }
    }

    boolean complete() {
        return mOccurrences.stream().allMatch(Occurrence::complete);
    }

    Stream<Task> tasks() {
        return mOccurrences.stream()
                .flatMap(o -> o.mSteps.stream())
                .flatMap(s -> s.mTasks.stream());
    }

    private JobState finalState() {
        if (mCancelled) {
            return JobState.CANCELLED;
        }
        return mFailed ? JobState.FAILED : JobState.COMPLETED;
    }
}
