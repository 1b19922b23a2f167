package org.knapweedbank.jobs.owner;

import java.util.Comparator;

/**
 * Decides which changed jobs are written to the store next, when more jobs change than one write
 * can hold. New jobs come first, since their callers wait for the write and their tasks start after
 * it, then finished ones, whose callers wait for the final state. The progress of other jobs only
 * has to be stored before the ends of runs are acknowledged to the workers, so it is collected for
 * a while; the job that was written the longest time ago goes first.
 */
final class RecordOrder {
    /**
     * Minimum time between two writes of the progress of a job, in milliseconds. It is shorter than
     * most tasks run, and spares a write for each end of a step with many tasks.
     */
    static final long PROGRESS_INTERVAL_MILLIS = 150;

    /** Order in which jobs are written; jobs that compare as equal keep the order of acceptance. */
    static final Comparator<Job> ORDER =
            Comparator.comparing(RecordOrder::kind).thenComparingLong(Job::writtenAt);

    private RecordOrder() {}

    /** Reasons to write a record, the most urgent first. */
    private enum Kind {
        NEW,
        FINISHED,
        PROGRESS
    }

    /**
     * Returns whether a job has changes that have to be written now.
     *
     * @param job the job
     * @param now monotonic time in milliseconds
     */
    static boolean isDue(Job job, long now) {
        return job.dirty()
                && (kind(job) != Kind.PROGRESS
                        || now - job.writtenAt() >= PROGRESS_INTERVAL_MILLIS);
    }

    private static Kind kind(Job job) {
        if (!job.stored()) {
            return Kind.NEW;
        }
        return job.finished() ? Kind.FINISHED : Kind.PROGRESS;
    }
}
