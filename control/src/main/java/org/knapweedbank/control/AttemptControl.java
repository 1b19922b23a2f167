package org.knapweedbank.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TransitionResult;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.ThrottleTask;

/** Ends, stops, checkpoints and throttles attempts of tasks, and replaces service replicas. */
final class AttemptControl {
    /**
     * First delay of the exponential backoff for starts that agents refuse repeatedly, for example
     * because the program is unknown.
     */
    private static final long FIRST_RETRY_DELAY_NANOS = 1_000_000_000L;

    /** Limits the backoff delay to 64 s. */
    private static final int MAX_DELAY_DOUBLINGS = 6;

    private final PartitionContext mContext;

    /** Placed attempts whose start command this owner has not sent. */
    private final Map<TaskId, TaskEntry> mUnsentStarts = new LinkedHashMap<>();

    /** Attempt numbers, by task, whose end is appended to the journal and not committed yet. */
    private final Map<TaskId, Integer> mEndingAttempts = new HashMap<>();

    /**
     * Replaced replicas that keep running until their successor runs, with the monotonic time in
     * nanoseconds at which they are stopped at the latest.
     */
    private final Map<TaskId, Long> mReplacedReplicas = new LinkedHashMap<>();

    /** Tasks in backoff, with the monotonic time in nanoseconds at which they are queued again. */
    private final Map<TaskEntry, Long> mDelayedTasks = new LinkedHashMap<>();

    AttemptControl(PartitionContext context) {
        mContext = context;
    }

    void enqueue(TaskEntry task) {
        mContext.scheduler().enqueue(task.toPendingTask(mContext.nowNanos()));
    }

    List<TaskEntry> unsentStarts() {
        return List.copyOf(mUnsentStarts.values());
    }

    void addUnsentStart(TaskEntry task) {
        mUnsentStarts.put(task.id(), task);
    }

    boolean isStartUnsent(TaskEntry task) {
        return mUnsentStarts.containsKey(task.id());
    }

    void removeUnsentStart(TaskEntry task) {
        mUnsentStarts.remove(task.id());
    }

    /**
     * Returns true while the end of the attempt is not committed to the journal. A repeated report
     * must not be acknowledged during this time: the agent would discard the end, and a new owner
     * that recovers without it would run the task again.
     */
    boolean isEnding(TaskId task, int attempt) {
        return mEndingAttempts.getOrDefault(task, 0) == attempt;
    }

    void end(TaskEntry task, AttemptEnd end, String detail) {
        end(task, endRecord(task, end, detail), () -> {});
    }

    JournalRecord.TaskEnded endRecord(TaskEntry task, AttemptEnd end, String detail) {
        return new JournalRecord.TaskEnded(
                task.id(), task.attempt(), end, detail, mContext.wallMillis());
    }

    /**
     * Appends the end of an attempt to the journal. The resources of the attempt are released once
     * the record is in the store. Nothing changes while the journal is full.
     */
    void end(TaskEntry task, JournalRecord.TaskEnded record, Runnable onCommitted) {
        VmId vm = task.vm();
        boolean accepted =
                mContext.append(record, () -> endCommitted(task, vm, record, onCommitted));
        if (accepted) {
            mEndingAttempts.put(task.id(), record.attempt());
            mContext.counters().attemptEnded(record.end());
            mUnsentStarts.remove(task.id());
            mReplacedReplicas.remove(task.id());
            task.setStartConnection(null);
            task.setPlacementCommitted(false);
        }
    }

    private void endCommitted(
            TaskEntry task, VmId vm, JournalRecord.TaskEnded record, Runnable onCommitted) {
        mEndingAttempts.remove(task.id(), record.attempt());
        mContext.scheduler().release(task.id());
        if (record.end() == AttemptEnd.FINISHED) {
            mContext.scheduler().recordSuccess(task.id(), vm);
        } else if (record.end() == AttemptEnd.FAILED) {
            mContext.scheduler().recordFailure(task.id(), vm);
        }
        if (task.isPending() && task.attempt() == record.attempt() + 1) {
            requeue(task);
        }
        onCommitted.run();
    }

    /**
     * Queues a task for its next attempt. From the second consecutive refusal on, the next attempt
     * is delayed, and each further refusal doubles the delay.
     */
    private void requeue(TaskEntry task) {
        if (task.refusals() < 2) {
            enqueue(task);
            return;
        }
        int doublings = Math.min(task.refusals() - 2, MAX_DELAY_DOUBLINGS);
        mDelayedTasks.put(task, mContext.nowNanos() + (FIRST_RETRY_DELAY_NANOS << doublings));
    }

    /** Queues the tasks whose backoff delay has passed. */
    void enqueueDelayed() {
        long now = mContext.nowNanos();
        List<TaskEntry> due =
                mDelayedTasks.entrySet().stream()
                        .filter(entry -> now - entry.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(
                task -> {
                    mDelayedTasks.remove(task);
                    if (task.isPending()) {
                        enqueue(task);
                    }
                });
    }

    /** Sends a command for the current attempt of a task and records the time. */
    void send(VmSession session, TaskEntry task, Message message) {
        task.setLastCommandNanos(mContext.nowNanos());
        session.connection().send(message);
    }

    void stop(TaskEntry task) {
        Message stop = new StopTask(mContext.epoch(), task.id(), task.attempt());
        mContext.connectedSession(task).ifPresent(session -> send(session, task, stop));
    }

    void checkpoint(TaskEntry task, String reason) {
        TaskEvent request = new TaskEvent.RequestCheckpoint(task.attempt(), reason);
        if (task.apply(request) instanceof TransitionResult.Next) {
            mContext.counters().evicted();
            sendCheckpoint(task);
        }
    }

    private void sendCheckpoint(TaskEntry task) {
        Message checkpoint = new CheckpointTask(mContext.epoch(), task.id(), task.attempt());
        mContext.connectedSession(task).ifPresent(session -> send(session, task, checkpoint));
    }

    /**
     * Resends the stop or checkpoint command that corresponds to the state of the task. Commands
     * are idempotent.
     */
    void resendCommand(TaskEntry task) {
        if (task.isCancelling() && !mReplacedReplicas.containsKey(task.id())) {
            stop(task);
        } else if (task.state() instanceof TaskLifecycle.Checkpointing) {
            sendCheckpoint(task);
        }
    }

    /** Throttles or evicts a batch task that interferes with a service on its VM. */
    void applyInterferenceAction(InterferenceAction action) {
        switch (action) {
            case InterferenceAction.Throttle throttle ->
                    ifOnVm(
                            throttle.task(),
                            throttle.vm(),
                            task -> throttle(task, throttle.share()));
            case InterferenceAction.Evict evict ->
                    ifOnVm(
                            evict.task(),
                            evict.vm(),
                            task -> checkpoint(task, "interferes with a service"));
        }
    }

    private void ifOnVm(TaskId id, VmId vm, Consumer<TaskEntry> action) {
        mContext.state().task(id).filter(task -> vm.equals(task.vm())).ifPresent(action);
    }

    private void throttle(TaskEntry task, double share) {
        Message message = new ThrottleTask(mContext.epoch(), task.id(), task.attempt(), share);
        mContext.connectedSession(task).ifPresent(session -> session.connection().send(message));
    }

    /**
     * Replaces a service replica by one with a new task identifier. The replaced replica remains
     * until its end is confirmed.
     */
    void replace(TaskEntry task) {
        TaskId successor = new TaskId(task.job().id(), task.job().nextIndex());
        boolean startUnsent = isStartUnsent(task);
        boolean accepted =
                mContext.append(
                        new JournalRecord.TaskReplaced(task.id(), successor),
                        () -> mContext.state().task(successor).ifPresent(this::enqueue));
        if (accepted && startUnsent) {
            end(task, AttemptEnd.NOT_STARTED, "replaced before the start");
        }
    }

    /**
     * Replaces a service replica and keeps it running until its successor runs, for a limited time.
     */
    void replaceBeforeStop(TaskEntry task) {
        replace(task);
        if (task.isCancelling()) {
            long wait = mContext.settings().replicaDrainTimeout().toNanos();
            mReplacedReplicas.put(task.id(), mContext.nowNanos() + wait);
        }
    }

    /** Stops the replaced replicas whose successor runs or whose time limit has passed. */
    void stopReplacedReplicas() {
        long now = mContext.nowNanos();
        List<TaskEntry> due =
                mReplacedReplicas.entrySet().stream()
                        .flatMap(replaced -> mContext.state().task(replaced.getKey()).stream())
                        .filter(
                                task ->
                                        now >= mReplacedReplicas.get(task.id())
                                                || isSuccessorRunning(task))
                        .toList();
        due.forEach(
                task -> {
                    mReplacedReplicas.remove(task.id());
                    stop(task);
                });
    }

    private boolean isSuccessorRunning(TaskEntry task) {
        return task.successor() != null
                && mContext.state().task(task.successor()).filter(TaskEntry::isRunning).isPresent();
    }
}
