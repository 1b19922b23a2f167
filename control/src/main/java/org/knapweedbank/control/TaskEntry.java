package org.knapweedbank.control;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TaskTransitions;
import org.knapweedbank.scheduling.task.TransitionResult;

/**
 * A task of a partition: its lifecycle state as of the journal, and the commands that the current
 * owner has sent for it. Not thread-safe.
 */
final class TaskEntry {
    private final TaskId mId;
    private final JobEntry mJob;
    private TaskLifecycle mState;
    private Resources mReserved;
    private String mDetail = "";
    private TaskId mSuccessor;
    private boolean mPlacementCommitted;
    private AgentControlConnection mStartConnection;
    private int mRefusals;
    private long mLastCommandNanos;

    TaskEntry(TaskId id, JobEntry job, TaskLifecycle state) {
        mId = id;
        mJob = job;
        mState = state;
        mReserved = job.spec().resources();
    }

    /**
     * Applies an event to the lifecycle state and returns the result of the transition. The state
     * changes only if the event has an effect.
     */
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

    /** Returns the VM that holds the current attempt, or null if no attempt is placed. */
    VmId vm() {
        return switch (mState) {
            case TaskLifecycle.Placed placed -> placed.vm();
            case TaskLifecycle.Active active -> active.vm();
            default -> null;
        };
    }

    /** Returns the resources that the current attempt reserves on its VM. */
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

    /** Returns the replica that replaces this one, or null if it is not being replaced. */
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

    /**
     * Returns the agent connection on which the current attempt was started or last confirmed, or
     * null.
     */
    AgentControlConnection startConnection() {
        return mStartConnection;
    }

    void setStartConnection(AgentControlConnection connection) {
        mStartConnection = connection;
    }

    /** Returns the number of consecutive starts that agents have refused. */
    int refusals() {
        return mRefusals;
    }

    void countRefusal() {
        mRefusals++;
    }

    void clearRefusals() {
        mRefusals = 0;
    }

    /**
     * Returns the monotonic time of the placement of the current attempt or of the last command
     * sent for it.
     */
    long lastCommandNanos() {
        return mLastCommandNanos;
    }

    void setLastCommandNanos(long nanos) {
        mLastCommandNanos = nanos;
    }

    /** Returns the description of this task for the queue of the scheduler. */
    PendingTask toPendingTask(long submittedNanos) {
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
