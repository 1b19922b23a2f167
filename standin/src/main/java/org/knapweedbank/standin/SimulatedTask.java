package org.knapweedbank.standin;

import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;

/**
 * One attempt on a worker stand-in. Its progress grows with time and the share of its throttle.
 * Times are in monotonic nanoseconds.
 */
final class SimulatedTask {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String CHECKPOINT_FORMAT = "%s-%d-%d";

    private final TaskStart mStart;
    private final SimulatedCommand mCommand;
    private final long mStartedAt;
    private TaskState mState = TaskState.RUNNING;
    private String mDetail = "";
    private double mProgressMillis;
    private long mAdvancedTo;
    private double mShare = 1;
    private double mShareBefore = 1;
    private long mShareChangedAt;
    private long mLeaseEndsAt;
    private long mCheckpointEndsAt;
    private long mEndedAt;

    SimulatedTask(TaskStart start, SimulatedCommand command, long now) throws BadRequestException {
        mStart = start;
        mCommand = command;
        mStartedAt = now;
        mAdvancedTo = now;
        mShareChangedAt = now;
        mProgressMillis = progressOf(start.checkpoint());
        extendLease(now, start.leaseMillis());
    }

    /** Progress kept by a checkpoint, which any worker can resume from. */
    private static double progressOf(String checkpoint) throws BadRequestException {
        if (checkpoint.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('-') + 1));
        } catch (NumberFormatException e) {
            throw new BadRequestException("checkpoint is not known: " + checkpoint);
        }
    }

    TaskStart start() {
        return mStart;
    }

    TaskState state() {
        return mState;
    }

    boolean ended() {
        return mState.ended();
    }

    long startedAt() {
        return mStartedAt;
    }

    long endedAt() {
        return mEndedAt;
    }

    long progressMillis() {
        return Math.round(mProgressMillis);
    }

    TaskStatus status() {
        return new TaskStatus(mStart.task(), mStart.attempt(), mStart.resources(), mState, mDetail);
    }

    void extendLease(long now, long ttlMillis) {
        mLeaseEndsAt = now + (long) (ttlMillis * NANOS_PER_MILLI);
    }

    /** Share of the declared resources that was used at a moment. */
    double usageAt(long moment) {
        double share = moment - mShareChangedAt >= 0 ? mShare : mShareBefore;
        return share * mCommand.usage();
    }

    void throttle(long now, double share) {
        mShareBefore = mShare;
        mShare = share;
        mShareChangedAt = now;
    }

    void stop(long now, TaskState state, String detail) {
        mState = state;
        mDetail = detail;
        mEndedAt = now;
    }

    void checkpoint(long now) {
        mState = TaskState.CHECKPOINTING;
        mCheckpointEndsAt = now + (long) (mCommand.checkpointMillis() * NANOS_PER_MILLI);
    }

    /** Moves the attempt to a moment; what happens first in between comes first. */
    void advance(long now) {
        if (ended()) {
            return;
        }
        if (mState == TaskState.CHECKPOINTING) {
            advanceCheckpoint(now);
        } else {
            advanceRun(now);
        }
    }

    private void advanceCheckpoint(long now) {
        boolean complete = now - mCheckpointEndsAt >= 0;
        if (complete && mCheckpointEndsAt - mLeaseEndsAt <= 0) {
            String reference =
                    String.format(
                            CHECKPOINT_FORMAT, mStart.task(), mStart.attempt(), progressMillis());
            stop(mCheckpointEndsAt, TaskState.CHECKPOINTED, reference);
        } else if (now - mLeaseEndsAt >= 0) {
            stop(mLeaseEndsAt, TaskState.EXPIRED, "");
        }
    }

    private void advanceRun(long now) {
        long until = now - mLeaseEndsAt >= 0 ? mLeaseEndsAt : now;
        double missing = mCommand.millis() - mProgressMillis;
        double gained = (until - mAdvancedTo) / NANOS_PER_MILLI * mShare;
        boolean endsByItself = mCommand.millis() > 0 || mCommand.fails();
        if (endsByItself && gained >= missing) {
            long endedAt = mAdvancedTo + (long) (Math.max(0, missing) / mShare * NANOS_PER_MILLI);
            mProgressMillis = Math.max(mProgressMillis, mCommand.millis());
            TaskState state = mCommand.fails() ? TaskState.FAILED : TaskState.FINISHED;
            stop(endedAt, state, mCommand.fails() ? "simulated failure" : "");
            return;
        }
        mProgressMillis += gained;
        mAdvancedTo = until;
        if (now - mLeaseEndsAt >= 0) {
            stop(mLeaseEndsAt, TaskState.EXPIRED, "");
        }
    }
}
