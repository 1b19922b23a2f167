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

/** Codec of the stored record of a job: the submission and what must outlive all processes. */
public final class JobRecords {
    private static final int FORMAT = 2;

    private JobRecords() {}

    /**
     * Encodes the present state.
     *
     * @param job the job
     * @return the record
     */
    public static byte[] encode(Job job) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            QueueCodec.pack(packer, job.queue());
            packer.packLong(job.accepted().toEpochMilli());
            packer.packBoolean(job.mCancelled);
            packer.packBoolean(job.mFailed);
            SubmissionCodec.pack(packer, job.submission());
            List<Task> touched = job.tasks().filter(JobRecords::touched).toList();
            packer.packArrayHeader(touched.size());
            for (Task task : touched) {
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
     * @throws IOException when the bytes are not a record of a known format
     */
    static Job decode(byte[] bytes) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            int format = in.unpackInt();
            if (format != FORMAT) {
                throw new IOException("job record of unknown format " + format);
            }
            JobQueue queue = QueueCodec.unpack(in);
            Instant accepted = Instant.ofEpochMilli(in.unpackLong());
            boolean cancelled = in.unpackBoolean();
            boolean failed = in.unpackBoolean();
            JobSubmission submission = SubmissionCodec.unpack(in);
            Job job = new Job(submission, queue, accepted);
            job.mCancelled = cancelled;
            job.mFailed = failed;
            int touched = in.unpackArrayHeader();
            for (int i = 0; i < touched; i++) {
                unpackTask(in, job);
            }
            return job;
        } catch (RuntimeException e) {
            throw new IOException("malformed job record", e);
        }
    }

    private static boolean touched(Task task) {
        return task.mDone || task.mFailures.count() > 0 || !task.mCheckpoint.isEmpty();
    }

    private static void packTask(MessageBufferPacker packer, Task task) throws IOException {
        packer.packInt(task.mName.occurrence());
        packer.packInt(task.mName.step());
        packer.packInt(task.mName.index());
        packer.packBoolean(task.mDone);
        task.mFailures.pack(packer);
        packer.packString(task.mDone ? "" : task.mCheckpoint);
    }

    private static void unpackTask(MessageUnpacker in, Job job) throws IOException {
        Occurrence occurrence = job.mOccurrences.get(in.unpackInt());
        Step step = occurrence.mSteps.get(in.unpackInt());
        Task task = step.mTasks.get(in.unpackInt());
        task.mDone = in.unpackBoolean();
        task.mFailures.unpack(in);
        task.mCheckpoint = in.unpackString();
        job.mStarted = true;
        if (task.mDone) {
            step.mDone++;
            step.mWaiting--;
        }
    }
}
