package org.knapweedbank.standin;

import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;

/**
 * One attempt of a task on a simulated worker. Its progress per unit of time is proportional to the
 * CPU share that it is throttled to. All times in nanoseconds are those of the monotonic clock.
 */
final class SimulatedTask {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String CHECKPOINT_REFERENCE_FORMAT = "%s-%d-%d";

    private final TaskStart mStartRequest;
    private final SimulatedCommand mCommand;
    private final long mStartNanos;
    private TaskState mState = TaskState.RUNNING;
    private String mDetail = "";
    private double mProgressMillis;
    private long mAdvancedToNanos;
    private double mCpuShare = 1;
    private double mPreviousCpuShare = 1;
    private long mCpuShareChangeNanos;
    private long mLeaseExpiryNanos;
    private long mCheckpointEndNanos;
    private long mEndNanos;

    SimulatedTask(TaskStart startRequest, SimulatedCommand command, long nowNanos)
            throws BadRequestException {
        mStartRequest = startRequest;
        mCommand = command;
        mStartNanos = nowNanos;
        mAdvancedToNanos = nowNanos;
        mCpuShareChangeNanos = nowNanos;
        mProgressMillis = decodeProgressMillis(startRequest.checkpoint());
        renewLease(nowNanos, startRequest.leaseMillis());
    }

    /**
     * Returns the progress in milliseconds that a checkpoint reference ends with. Because the
     * progress is part of the reference, any simulated worker can resume from the checkpoint.
     */
    private static double decodeProgressMillis(String checkpoint) throws BadRequestException {
        if (checkpoint.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('-') + 1));
        } catch (NumberFormatException e) {
            throw new BadRequestException("checkpoint is not known: " + checkpoint);
        }
    }

    TaskStart startRequest() {
        return mStartRequest;
    }

    TaskState state() {
        return mState;
    }

    boolean ended() {
        return mState.ended();
    }

    long startNanos() {
        return mStartNanos;
    }

    long endNanos() {
        return mEndNanos;
    }

    long progressMillis() {
        return Math.round(mProgressMillis);
    }

    TaskStatus status() {
        return new TaskStatus(
                mStartRequest.task(),
                mStartRequest.attempt(),
                mStartRequest.resources(),
                mState,
                mDetail);
    }

    void renewLease(long nowNanos, long ttlMillis) {
        mLeaseExpiryNanos = nowNanos + (long) (ttlMillis * NANOS_PER_MILLI);
    }

    /** Returns the fraction of its CPU reservation that the attempt used at a time. */
    double cpuUsageAt(long timeNanos) {
        double cpuShare = timeNanos - mCpuShareChangeNanos >= 0 ? mCpuShare : mPreviousCpuShare;
        return cpuShare * mCommand.cpuUsage();
    }

    void throttle(long nowNanos, double cpuShare) {
        mPreviousCpuShare = mCpuShare;
        mCpuShare = cpuShare;
        mCpuShareChangeNanos = nowNanos;
    }

    /** Sets the final state of the attempt. */
    void end(long nowNanos, TaskState state, String detail) {
        mState = state;
        mDetail = detail;
        mEndNanos = nowNanos;
    }

    void startCheckpoint(long nowNanos) {
        mState = TaskState.CHECKPOINTING;
        mCheckpointEndNanos = nowNanos + (long) (mCommand.checkpointMillis() * NANOS_PER_MILLI);
    }

    /**
     * Brings the attempt up to date. If it would both complete and lose its lease in the elapsed
     * time, the earlier of the two events decides its final state.
     */
    void advance(long nowNanos) {
        if (ended()) {
            return;
        }
        if (mState == TaskState.CHECKPOINTING) {
            advanceCheckpoint(nowNanos);
        } else {
            advanceRun(nowNanos);
        }
    }

    private void advanceCheckpoint(long nowNanos) {
        boolean isWritten = nowNanos - mCheckpointEndNanos >= 0;
        if (isWritten && mCheckpointEndNanos - mLeaseExpiryNanos <= 0) {
            String reference =
                    String.format(
                            CHECKPOINT_REFERENCE_FORMAT,
                            mStartRequest.task(),
                            mStartRequest.attempt(),
                            progressMillis());
            end(mCheckpointEndNanos, TaskState.CHECKPOINTED, reference);
        } else if (nowNanos - mLeaseExpiryNanos >= 0) {
            end(mLeaseExpiryNanos, TaskState.EXPIRED, "");
        }
    }

    private void advanceRun(long nowNanos) {
        long untilNanos = nowNanos - mLeaseExpiryNanos >= 0 ? mLeaseExpiryNanos : nowNanos;
        double remainingMillis = mCommand.runMillis() - mProgressMillis;
        double gainedMillis = (untilNanos - mAdvancedToNanos) / NANOS_PER_MILLI * mCpuShare;
        boolean endsWithoutStop = mCommand.runMillis() > 0 || mCommand.fails();
        if (endsWithoutStop && gainedMillis >= remainingMillis) {
            long endNanos =
                    mAdvancedToNanos
                            + (long) (Math.max(0, remainingMillis) / mCpuShare * NANOS_PER_MILLI);
            mProgressMillis = Math.max(mProgressMillis, mCommand.runMillis());
            TaskState state = mCommand.fails() ? TaskState.FAILED : TaskState.FINISHED;
            end(endNanos, state, mCommand.fails() ? "simulated failure" : "");
            return;
        }
        mProgressMillis += gainedMillis;
        mAdvancedToNanos = untilNanos;
        if (nowNanos - mLeaseExpiryNanos >= 0) {
            end(mLeaseExpiryNanos, TaskState.EXPIRED, "");
        }
    }
}
