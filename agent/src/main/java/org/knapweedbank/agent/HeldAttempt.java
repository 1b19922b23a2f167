package org.knapweedbank.agent;

import org.knapweedbank.model.Resources;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReportState;

/** An attempt that the agent holds until its end is acknowledged. */
final class HeldAttempt {
    /** What the attempt was last told, in rising priority. */
    enum Order {
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
    private boolean mUncertain;
    private Order mOrder = Order.NONE;
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

    boolean service() {
        return mService;
    }

    void service(boolean service) {
        mService = service;
    }

    TaskReportState state() {
        return mState;
    }

    boolean ended() {
        return mState.ended();
    }

    String detail() {
        return mDetail;
    }

    void state(TaskReportState state, String detail) {
        mState = state;
        mDetail = detail;
    }

    /** The start that the worker has not confirmed, or null. */
    StartTask pendingStart() {
        return mPendingStart;
    }

    void pendingStart(StartTask start) {
        mPendingStart = start;
    }

    /** True if a start call had no answer, so that it may still take effect. */
    boolean uncertain() {
        return mUncertain;
    }

    void uncertain(boolean uncertain) {
        mUncertain = uncertain;
    }

    Order order() {
        return mOrder;
    }

    void order(Order order) {
        if (order.compareTo(mOrder) > 0) {
            mOrder = order;
            mCallDueNanos = 0;
        }
    }

    boolean acknowledged() {
        return mAcknowledged;
    }

    void acknowledged(boolean acknowledged) {
        mAcknowledged = acknowledged;
    }

    long reportDueNanos() {
        return mReportDueNanos;
    }

    void reportDueNanos(long nanos) {
        mReportDueNanos = nanos;
    }

    /** Earliest time of the next call to the worker; 0 for at once. */
    long callDueNanos() {
        return mCallDueNanos;
    }

    void callDueNanos(long nanos) {
        mCallDueNanos = nanos;
    }

    long lastStartNanos() {
        return mLastStartNanos;
    }

    void lastStartNanos(long nanos) {
        mLastStartNanos = nanos;
    }

    /** When the worker last confirmed the attempt; a list asked for earlier does not count. */
    long confirmedNanos() {
        return mConfirmedNanos;
    }

    void confirmedNanos(long nanos) {
        mConfirmedNanos = nanos;
    }

    TaskHeld toMessage() {
        return new TaskHeld(mId.task(), mId.attempt(), mResources, mState, mDetail);
    }
}
