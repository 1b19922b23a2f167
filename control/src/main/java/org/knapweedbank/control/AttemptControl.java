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

/** Ends, stops, checkpoints and throttles attempts. */
final class AttemptControl {
    /** A start that agents refuse, for example for an unknown program, is tried less and less. */
    private static final long FIRST_DELAY_NANOS = 1_000_000_000L;

    /** Bounds the delay to 64 s. */
    private static final int MAX_DOUBLINGS = 6;

    private final PartitionContext mContext;

    /** Placed attempts whose start this owner has not sent. */
    private final Map<TaskId, TaskEntry> mUnsent = new LinkedHashMap<>();

    /** Attempts whose end is on its way to the store. */
    private final Map<TaskId, Integer> mEnding = new HashMap<>();

    /** Replicas that are kept until their successor runs, with the time at which they stop. */
    private final Map<TaskId, Long> mKept = new LinkedHashMap<>();

    /** Tasks that wait before their next attempt, with the time at which they are queued. */
    private final Map<TaskEntry, Long> mDelayed = new LinkedHashMap<>();

    AttemptControl(PartitionContext context) {
        mContext = context;
    }

    void enqueue(TaskEntry task) {
        mContext.scheduler().enqueue(task.pending(mContext.nowNanos()));
    }

    List<TaskEntry> unsent() {
        return List.copyOf(mUnsent.values());
    }

    void addUnsent(TaskEntry task) {
        mUnsent.put(task.id(), task);
    }

    boolean isUnsent(TaskEntry task) {
        return mUnsent.containsKey(task.id());
    }

    void removeUnsent(TaskEntry task) {
        mUnsent.remove(task.id());
    }

    /**
     * True while the end of the attempt is on its way to the store. A repeated report must not be
     * acknowledged before: the agent would forget the end, and a new owner would run the task
     * again.
     */
    boolean isEnding(TaskId task, int attempt) {
        return mEnding.getOrDefault(task, 0) == attempt;
    }

    void end(TaskEntry task, AttemptEnd end, String detail) {
        end(task, ended(task, end, detail), () -> {});
    }

    JournalRecord.TaskEnded ended(TaskEntry task, AttemptEnd end, String detail) {
        return new JournalRecord.TaskEnded(
                task.id(), task.attempt(), end, detail, mContext.wallMillis());
    }

    /** Journals the end of an attempt. Its resources are freed once the record is in the store. */
    void end(TaskEntry task, JournalRecord.TaskEnded record, Runnable committed) {
        VmId vm = task.vm();
        boolean taken = mContext.append(record, () -> endCommitted(task, vm, record, committed));
        if (taken) {
            mEnding.put(task.id(), record.attempt());
            mContext.counters().attemptEnded(record.end());
            mUnsent.remove(task.id());
            mKept.remove(task.id());
            task.setStartedOn(null);
            task.setPlacementCommitted(false);
        }
    }

    private void endCommitted(
            TaskEntry task, VmId vm, JournalRecord.TaskEnded record, Runnable committed) {
        mEnding.remove(task.id(), record.attempt());
        mContext.scheduler().release(task.id());
        if (record.end() == AttemptEnd.FINISHED) {
            mContext.scheduler().recordSuccess(task.id(), vm);
        } else if (record.end() == AttemptEnd.FAILED) {
            mContext.scheduler().recordFailure(task.id(), vm);
        }
        if (task.isPending() && task.attempt() == record.attempt() + 1) {
            enqueueAgain(task);
        }
        committed.run();
    }

    /** The second and further refusals in a row delay the next attempt, each twice as long. */
    private void enqueueAgain(TaskEntry task) {
        if (task.refusals() < 2) {
            enqueue(task);
            return;
        }
        int doublings = Math.min(task.refusals() - 2, MAX_DOUBLINGS);
        mDelayed.put(task, mContext.nowNanos() + (FIRST_DELAY_NANOS << doublings));
    }

    /** Puts tasks into the queue whose delay has passed. */
    void enqueueDelayed() {
        long now = mContext.nowNanos();
        List<TaskEntry> due =
                mDelayed.entrySet().stream()
                        .filter(delayed -> now - delayed.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(
                task -> {
                    mDelayed.remove(task);
                    if (task.isPending()) {
                        enqueue(task);
                    }
                });
    }

    /** Sends a command about the present attempt and notes its time. */
    void send(VmSession session, TaskEntry task, Message message) {
        task.setCommandNanos(mContext.nowNanos());
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

    /** Sends the command again that the state of the task asks for; commands are idempotent. */
    void repeatCommand(TaskEntry task) {
        if (task.isCancelling() && !mKept.containsKey(task.id())) {
            stop(task);
        } else if (task.state() instanceof TaskLifecycle.Checkpointing) {
            sendCheckpoint(task);
        }
    }

    void control(InterferenceAction action) {
        switch (action) {
            case InterferenceAction.Throttle throttle ->
                    find(throttle.task(), throttle.vm(), task -> throttle(task, throttle.share()));
            case InterferenceAction.Evict evict ->
                    find(
                            evict.task(),
                            evict.vm(),
                            task -> checkpoint(task, "interferes with a service"));
        }
    }

    private void find(TaskId id, VmId vm, Consumer<TaskEntry> action) {
        mContext.state().task(id).filter(task -> vm.equals(task.vm())).ifPresent(action);
    }

    private void throttle(TaskEntry task, double share) {
        Message message = new ThrottleTask(mContext.epoch(), task.id(), task.attempt(), share);
        mContext.connectedSession(task).ifPresent(session -> session.connection().send(message));
    }

    /** Creates a replica with a new identity; the present one ends when its end is confirmed. */
    void replace(TaskEntry task) {
        TaskId successor = new TaskId(task.job().id(), task.job().nextIndex());
        boolean unsent = isUnsent(task);
        boolean taken =
                mContext.append(
                        new JournalRecord.TaskReplaced(task.id(), successor),
                        () -> mContext.state().task(successor).ifPresent(this::enqueue));
        if (taken && unsent) {
            end(task, AttemptEnd.NOT_STARTED, "replaced before the start");
        }
    }

    /** Replaces a replica and keeps it for some time, until the successor runs. */
    void replaceGently(TaskEntry task) {
        replace(task);
        if (task.isCancelling()) {
            long wait = mContext.settings().replicaWait().toNanos();
            mKept.put(task.id(), mContext.nowNanos() + wait);
        }
    }

    /** Stops replaced replicas whose successor runs, or that have been kept long enough. */
    void stopReplaced() {
        long now = mContext.nowNanos();
        List<TaskEntry> due =
                mKept.entrySet().stream()
                        .flatMap(kept -> mContext.state().task(kept.getKey()).stream())
                        .filter(task -> now >= mKept.get(task.id()) || successorRuns(task))
                        .toList();
        due.forEach(
                task -> {
                    mKept.remove(task.id());
                    stop(task);
                });
    }

    private boolean successorRuns(TaskEntry task) {
        return task.successor() != null
                && mContext.state().task(task.successor()).filter(TaskEntry::isRunning).isPresent();
    }
}
