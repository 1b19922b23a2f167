package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.SubmissionCodec;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of the stored record of a job: the submission and the state that must survive the loss of
 * all processes.
 */
public final class JobRecords {
    private static final int FORMAT_VERSION = 2;

    /**
     * Format of a finished job, which keeps what callers can still ask for. A new owner reads the
     * records of all retained jobs, most of which are finished.
     */
    private static final int FINISHED_FORMAT_VERSION = 3;

    /** Stands in for the steps of a finished job, which are not stored. */
    private static final StepSpec FINISHED_STEP =
            new StepSpec(
                    1,
                    Resources.NONE,
                    Duration.ZERO,
                    List.of(),
                    StepTraits.BATCH,
                    PlacementRule.ANYWHERE,
                    "",
                    Duration.ZERO,
                    -1);

    private JobRecords() {}

    /**
     * Encodes the current state of a job.
     *
     * @param job the job
     * @return the record
     */
    public static byte[] encode(Job job) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (job.finished()) {
                packFinished(packer, job);
                return packer.toByteArray();
            }
            packer.packInt(FORMAT_VERSION);
            QueueCodec.pack(packer, job.queue());
            packer.packLong(job.accepted().toEpochMilli());
            packer.packBoolean(job.mCancelled);
            packer.packBoolean(job.mFailed);
            SubmissionCodec.pack(packer, job.submission());
            List<Task> storedTasks = job.tasks().filter(JobRecords::hasStoredState).toList();
            packer.packArrayHeader(storedTasks.size());
            for (Task task : storedTasks) {
                packTask(packer, task);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode job " + job.id().value(), e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the record
     * @return the job, not yet marked as loaded
     * @throws IOException when the bytes are not a record of the supported format
     */
    static Job decode(byte[] bytes) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int formatVersion = in.unpackInt();
            if (formatVersion == FINISHED_FORMAT_VERSION) {
                return unpackFinished(in);
            }
            if (formatVersion != FORMAT_VERSION) {
                throw new IOException("unsupported job record format " + formatVersion);
            }
            JobQueue queue = QueueCodec.unpack(in);
            Instant accepted = Instant.ofEpochMilli(in.unpackLong());
            boolean cancelled = in.unpackBoolean();
            boolean failed = in.unpackBoolean();
            JobSubmission submission = SubmissionCodec.unpack(in);
            Job job = new Job(submission, queue, accepted);
            job.mCancelled = cancelled;
            job.mFailed = failed;
            int taskCount = in.unpackArrayHeader();
            for (int i = 0; i < taskCount; i++) {
                unpackTask(in, job);
            }
            return job;
        } catch (RuntimeException e) {
            throw new IOException("malformed job record", e);
        }
    }

    private static void packFinished(MessageBufferPacker packer, Job job) throws IOException {
        packer.packInt(FINISHED_FORMAT_VERSION);
        QueueCodec.pack(packer, job.queue());
        packer.packLong(job.accepted().toEpochMilli());
        packer.packBoolean(job.mCancelled);
        packer.packBoolean(job.mFailed);
        packer.packString(job.id().value());
    }

    private static Job unpackFinished(MessageUnpacker in) throws IOException {
        JobQueue queue = QueueCodec.unpack(in);
        Instant accepted = Instant.ofEpochMilli(in.unpackLong());
        boolean cancelled = in.unpackBoolean();
        boolean failed = in.unpackBoolean();
        JobId id = new JobId(in.unpackString());
        Job job =
                new Job(
                        new JobSubmission(id, "", List.of(FINISHED_STEP), Timetable.ONCE),
                        queue,
                        accepted);
        job.mCancelled = cancelled;
        job.mFailed = failed;
        job.mStarted = true;
        job.mWithoutTasks = true;
        job.tasks().forEach(Task::markDone);
        return job;
    }

    /**
     * Returns whether a task differs from a task that has never run, so that its state has to be in
     * the record.
     */
    private static boolean hasStoredState(Task task) {
        return task.mDone || task.mFailedRuns.count() > 0 || !task.mCheckpoint.isEmpty();
    }

    private static void packTask(MessageBufferPacker packer, Task task) throws IOException {
        packer.packInt(task.mName.occurrence());
        packer.packInt(task.mName.step());
        packer.packInt(task.mName.index());
        packer.packBoolean(task.mDone);
        task.mFailedRuns.pack(packer);
        packer.packString(task.mDone ? "" : task.mCheckpoint);
    }

    private static void unpackTask(MessageUnpacker in, Job job) throws IOException {
        Occurrence occurrence = job.mOccurrences.get(in.unpackInt());
        Step step = occurrence.mSteps.get(in.unpackInt());
        Task task = step.mTasks.get(in.unpackInt());
        boolean done = in.unpackBoolean();
        task.mFailedRuns.unpack(in);
        task.mCheckpoint = in.unpackString();
        job.mStarted = true;
        if (done) {
            task.markDone();
        }
    }
}
