package org.knapweedbank.faults.task;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/**
 * A worker that records each execution. It accepts every start, even beyond its capacity, so that
 * the executions show what the system requested.
 */
final class SimWorker implements Worker {
    /** Time that a checkpoint takes on the worker's clock. */
    private static final Duration CHECKPOINT_DURATION = Duration.ofSeconds(2);

    /** Interval at which executions are checked for their end. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final TaskCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mVm;
    private final Clock mClock;
    private final Resources mCapacity;

    /** Executions that the worker lists; ended ones remain until the agent has them removed. */
    private final List<Execution> mExecutions = new ArrayList<>();

    /** Time after which a batch task finishes. */
    private Duration mTaskDuration = Duration.ofSeconds(15);

    /** Whether running tasks fail. */
    private boolean mFailing;

    /** Whether the VM has been removed. */
    private boolean mGone;

    /** Number of calls that still take effect without an answer. */
    private int mAnswersToLose;

    /** Number of calls that are still lost without effect. */
    private int mCallsToLose;

    SimWorker(TaskCellRun cellRun, String vm, Clock clock, Resources capacity) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mVm = vm;
        mClock = clock;
        mCapacity = capacity;
        mSimulation.schedule(TICK_INTERVAL, this::tick);
    }

    /** Sets the time after which a batch task finishes. */
    void setTaskDuration(Duration taskDuration) {
        mTaskDuration = taskDuration;
    }

    /** Sets whether running tasks fail. */
    void setFailing(boolean failing) {
        mFailing = failing;
    }

    /** Loses the answers to the next calls; the calls take effect. */
    void loseAnswers(int count) {
        mAnswersToLose = count;
    }

    /** Loses the next calls; they have no effect. */
    void loseCalls(int count) {
        mCallsToLose = count;
    }

    /** Removes the VM with everything that runs on it. */
    void removeVm() {
        mGone = true;
        mExecutions.forEach(execution -> end(execution, TaskState.EXPIRED, "VM gone"));
        mExecutions.clear();
    }

    /** Returns whether the VM has been removed. */
    boolean isGone() {
        return mGone;
    }

    /**
     * Ends executions whose lease, checkpoint or work has ended, or all of them while the worker is
     * failing.
     */
    private void tick() {
        if (mGone) {
            return;
        }
        long now = mClock.monotonicNanos();
        for (Execution execution : mExecutions) {
            boolean workDone =
                    mSimulation.nowNanos() - execution.mStartNanos >= mTaskDuration.toNanos();
            if (execution.hasEnded()) {
                continue;
            } else if (now >= execution.mLeaseEndNanos) {
                end(execution, TaskState.EXPIRED, "lease");
            } else if (now >= execution.mCheckpointNanos) {
                end(
                        execution,
                        TaskState.CHECKPOINTED,
                        "ckpt-" + execution.mTask + "#" + execution.mAttempt);
            } else if (mFailing) {
                end(execution, TaskState.FAILED, "exit status 1");
            } else if (workDone && !TaskCellRun.isService(execution.mTask)) {
                end(execution, TaskState.FINISHED, "");
            }
        }
        mSimulation.schedule(TICK_INTERVAL, this::tick);
    }

    /** Puts an execution in a final state, unless it has one. */
    private void end(Execution execution, TaskState state, String detail) {
        if (!execution.hasEnded()) {
            execution.mState = state;
            execution.mDetail = detail;
            execution.mEndNanos = mSimulation.nowNanos();
            mSimulation.trace(mVm, execution + " " + detail);
        }
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return simulateCall(
                () -> {
                    Execution execution = findExecution(start.task(), start.attempt());
                    if (execution == null) {
                        execution =
                                new Execution(
                                        start.task(),
                                        start.attempt(),
                                        mVm,
                                        start.resources(),
                                        start.checkpoint(),
                                        mSimulation.nowNanos());
                        execution.mLeaseEndNanos =
                                mClock.monotonicNanos() + start.leaseMillis() * 1_000_000;
                        mExecutions.add(execution);
                        mCellRun.recordStart(execution, usedResources(), mCapacity);
                    }
                    return new WorkerResult.Succeeded<>(status(execution));
                });
    }

    /** Returns the resources of all running executions. */
    private Resources usedResources() {
        return mExecutions.stream()
                .filter(execution -> !execution.hasEnded())
                .map(execution -> execution.mResources)
                .reduce(Resources.NONE, Resources::plus);
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return simulateCall(
                () -> {
                    mExecutions.forEach(
                            execution ->
                                    execution.mLeaseEndNanos =
                                            mClock.monotonicNanos() + ttl.toNanos());
                    return new WorkerResult.Succeeded<>(mExecutions.size());
                });
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return updateExecution(
                task,
                attempt,
                execution -> {
                    if (execution.mState == TaskState.RUNNING) {
                        execution.mState = TaskState.CHECKPOINTING;
                        execution.mCheckpointNanos =
                                mClock.monotonicNanos() + CHECKPOINT_DURATION.toNanos();
                        mCellRun.reachStep(TaskStep.CHECKPOINTING, mVm);
                    }
                });
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return updateExecution(task, attempt, execution -> {});
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return updateExecution(task, attempt, execution -> end(execution, TaskState.STOPPED, ""));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return simulateCall(
                () ->
                        new WorkerResult.Succeeded<>(
                                mExecutions.stream().map(this::status).toList()));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return simulateCall(
                () -> {
                    Execution execution = findExecution(task, attempt);
                    boolean forgotten = execution != null && execution.hasEnded();
                    if (forgotten) {
                        mExecutions.remove(execution);
                    }
                    return new WorkerResult.Succeeded<>(forgotten);
                });
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return simulateCall(() -> new WorkerResult.Succeeded<>(List.of()));
    }

    /** Applies a change to an execution, or refuses the call if the attempt is unknown. */
    private Uni<WorkerResult<TaskStatus>> updateExecution(
            TaskId task, int attempt, java.util.function.Consumer<Execution> change) {
        return simulateCall(
                () -> {
                    Execution execution = findExecution(task, attempt);
                    if (execution == null) {
                        return new WorkerResult.Refused<>("unknown attempt");
                    }
                    change.accept(execution);
                    return new WorkerResult.Succeeded<>(status(execution));
                });
    }

    /** Returns the execution of an attempt, or null. */
    private Execution findExecution(TaskId task, int attempt) {
        return mExecutions.stream()
                .filter(execution -> execution.mTask.equals(task) && execution.mAttempt == attempt)
                .findFirst()
                .orElse(null);
    }

    /** Returns the status of an execution as the worker reports it. */
    private TaskStatus status(Execution execution) {
        return new TaskStatus(
                execution.mTask,
                execution.mAttempt,
                execution.mResources,
                execution.mState,
                execution.mDetail);
    }

    /**
     * Returns a call that takes effect after 1 to 3 ms. A lost call or answer is reported as
     * unknown after a further 2 s; without a VM, the call fails as unavailable after 2 s.
     */
    private <T> Uni<WorkerResult<T>> simulateCall(Supplier<WorkerResult<T>> effect) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            if (mGone) {
                                mSimulation.schedule(
                                        Duration.ofSeconds(2),
                                        () ->
                                                emitter.complete(
                                                        new WorkerResult.Unavailable<>(
                                                                "no connection")));
                                return;
                            }
                            boolean callLost = mCallsToLose > 0 && mCallsToLose-- > 0;
                            boolean answerLost =
                                    !callLost && mAnswersToLose > 0 && mAnswersToLose-- > 0;
                            long delayMillis = 1 + mSimulation.random().nextInt(3);
                            mSimulation.schedule(
                                    Duration.ofMillis(delayMillis),
                                    () -> {
                                        WorkerResult<T> result =
                                                callLost || mGone ? null : effect.get();
                                        if (result == null || answerLost) {
                                            mSimulation.schedule(
                                                    Duration.ofSeconds(2),
                                                    () ->
                                                            emitter.complete(
                                                                    new WorkerResult.Unknown<>(
                                                                            "no answer")));
                                        } else {
                                            emitter.complete(result);
                                        }
                                    });
                        });
    }
}
