package org.knapweedbank.control;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TaskTransitions;
import org.knapweedbank.scheduling.task.TransitionResult;

/** A task of a partition: its state, and what this owner has sent about it. */
final class TaskEntry {
    private final TaskId mId;
    private final JobEntry mJob;
    private TaskLifecycle mState;
    private Resources mReserved;
    private String mDetail = "";
    private TaskId mSuccessor;
    private boolean mPlacementCommitted;
    private AgentSession mStartedOn;
    private int mRefusals;
    private long mCommandNanos;

    TaskEntry(TaskId id, JobEntry job, TaskLifecycle state) {
        mId = id;
        mJob = job;
        mState = state;
        mReserved = job.spec().resources();
    }

    /** Applies an event if it has an effect, and returns the result of the transition. */
    TransitionResult apply(TaskEvent event) {
        TransitionResult result = TaskTransitions.apply(mState, event);
        if (result instanceof TransitionResult.Next next) {
            mState = next.state();
        }
        return result;
    }

    TaskId id() {
        return mId;
    }

    JobEntry job() {
        return mJob;
    }

    TaskLifecycle state() {
        return mState;
    }

    int attempt() {
        return mState.attempt();
    }

    /** VM of the present attempt, or null. */
    VmId vm() {
        return switch (mState) {
            case TaskLifecycle.Placed placed -> placed.vm();
            case TaskLifecycle.Active active -> active.vm();
            default -> null;
        };
    }

    /** Resources that the present attempt reserves on its VM. */
    Resources reserved() {
        return mReserved;
    }

    void setReserved(Resources reserved) {
        mReserved = reserved;
    }

    boolean isPending() {
        return mState instanceof TaskLifecycle.Admitted;
    }

    boolean isPlaced() {
        return mState instanceof TaskLifecycle.Placed;
    }

    boolean isActive() {
        return mState instanceof TaskLifecycle.Active;
    }

    boolean isRunning() {
        return mState instanceof TaskLifecycle.Running;
    }

    boolean isCancelling() {
        return mState instanceof TaskLifecycle.Active active && !active.cancelReason().isEmpty();
    }

    String detail() {
        return mDetail;
    }

    void setDetail(String detail) {
        mDetail = detail;
    }

    /** Replica that takes the place of this one, or null. */
    TaskId successor() {
        return mSuccessor;
    }

    void setSuccessor(TaskId successor) {
        mSuccessor = successor;
    }

    boolean isPlacementCommitted() {
        return mPlacementCommitted;
    }

    void setPlacementCommitted(boolean committed) {
        mPlacementCommitted = committed;
    }

    /** Connection on which the present attempt was started or confirmed, or null. */
    AgentSession startedOn() {
        return mStartedOn;
    }

    void setStartedOn(AgentSession connection) {
        mStartedOn = connection;
    }

    /** Number of starts in a row that agents have refused. */
    int refusals() {
        return mRefusals;
    }

    void countRefusal() {
        mRefusals++;
    }

    void clearRefusals() {
        mRefusals = 0;
    }

    /** Monotonic time of the last command sent about the present attempt. */
    long commandNanos() {
        return mCommandNanos;
    }

    void setCommandNanos(long nanos) {
        mCommandNanos = nanos;
    }

    /** The task as the scheduler sees it. */
    PendingTask pending(long submittedNanos) {
        return new PendingTask(
                mId,
                attempt(),
                mJob.spec().team(),
                mJob.spec().kind(),
                mJob.spec().taskClass(),
                mJob.spec().resources(),
                mJob.spec().priority(),
                mJob.spec().urgent(),
                submittedNanos);
    }
}
