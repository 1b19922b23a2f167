package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.SubmissionCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of the stored record of a job: the submission and the state that must survive the loss of
 * all processes.
 */
public final class JobRecords {
    private static final int FORMAT_VERSION = 2;

    private JobRecords() {}

    /**
     * Encodes the current state of a job.
     *
     * @param job the job
     * @return the record
     */
    public static byte[] encode(Job job) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
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
        task.mDone = in.unpackBoolean();
        task.mFailedRuns.unpack(in);
        task.mCheckpoint = in.unpackString();
        job.mStarted = true;
        if (task.mDone) {
            step.mDoneTasks++;
            step.mWaitingTasks--;
        }
    }
}
