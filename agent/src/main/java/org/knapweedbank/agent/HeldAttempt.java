package org.knapweedbank.agent;

import org.knapweedbank.model.Resources;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReportState;

/** An attempt that the agent holds until the owner has acknowledged its end. Not thread-safe. */
final class HeldAttempt {
    /** Command to end the attempt, in ascending priority. */
    enum Command {
        NONE,
        CHECKPOINT,
        STOP
    }

    private final AttemptId mId;
    private final Resources mResources;
    private boolean mService;
    private TaskReportState mState;
    private String mDetail = "";
    private StartTask mPendingStart;
    private boolean mStartUncertain;
    private Command mCommand = Command.NONE;
    private boolean mAcknowledged;
    private long mReportDueNanos;
    private long mCallDueNanos;
    private long mLastStartNanos;
    private long mConfirmedNanos;

    HeldAttempt(AttemptId id, Resources resources, boolean service, TaskReportState state) {
        mId = id;
        mResources = resources;
        mService = service;
        mState = state;
    }

    AttemptId id() {
        return mId;
    }

    Resources resources() {
        return mResources;
    }

    boolean isService() {
        return mService;
    }

    void setService(boolean service) {
        mService = service;
    }

    TaskReportState state() {
        return mState;
    }

    boolean hasEnded() {
        return mState.hasEnded();
    }

    String detail() {
        return mDetail;
    }

    void setState(TaskReportState state, String detail) {
        mState = state;
        mDetail = detail;
    }

    /** Returns the start command that the worker has not confirmed yet, or null. */
    StartTask pendingStart() {
        return mPendingStart;
    }

    void setPendingStart(StartTask start) {
        mPendingStart = start;
    }

    /** Returns true if a start call got no answer, so that it may still take effect. */
    boolean isStartUncertain() {
        return mStartUncertain;
    }

    void setStartUncertain(boolean uncertain) {
        mStartUncertain = uncertain;
    }

    Command command() {
        return mCommand;
    }

    /** Sets the command unless the current one has the same or a higher priority. */
    void raiseCommand(Command command) {
        if (command.compareTo(mCommand) > 0) {
            mCommand = command;
            mCallDueNanos = 0;
        }
    }

    /** Returns true if the owner has acknowledged the last report. */
    boolean isAcknowledged() {
        return mAcknowledged;
    }

    void setAcknowledged(boolean acknowledged) {
        mAcknowledged = acknowledged;
    }

    /** Returns the monotonic time at which an unacknowledged report is sent again. */
    long reportDueNanos() {
        return mReportDueNanos;
    }

    void setReportDueNanos(long nanos) {
        mReportDueNanos = nanos;
    }

    /** Returns the earliest monotonic time of the next call to the worker, or 0 for immediately. */
    long callDueNanos() {
        return mCallDueNanos;
    }

    void setCallDueNanos(long nanos) {
        mCallDueNanos = nanos;
    }

    /** Returns the monotonic time of the last start call to the worker. */
    long lastStartNanos() {
        return mLastStartNanos;
    }

    void setLastStartNanos(long nanos) {
        mLastStartNanos = nanos;
    }

    /**
     * Returns the monotonic time at which the worker last confirmed the attempt. The absence of the
     * attempt in a list requested before that time proves nothing.
     */
    long confirmedNanos() {
        return mConfirmedNanos;
    }

    void setConfirmedNanos(long nanos) {
        mConfirmedNanos = nanos;
    }

    TaskHeld toMessage() {
        return new TaskHeld(mId.task(), mId.attempt(), mResources, mState, mDetail);
    }
}
