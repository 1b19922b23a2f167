package org.knapweedbank.faults.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.control.AttemptEnd;
import org.knapweedbank.control.JournalRecord;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskState;

/** Record of the executions and commits of a cell, and the invariants 1 to 3 over it. */
final class TaskInvariantChecker {
    /**
     * Shortest time without a heartbeat of a VM after which its attempts may be replaced: session
     * and lease of 30 s each, and the drift that the clocks may add or take away.
     */
    private static final long MIN_REPLACEMENT_DELAY_NANOS = Duration.ofSeconds(59).toNanos();

    private final Simulation mSimulation;
    private final Map<String, Long> mLastContactNanos = new HashMap<>();
    private final List<Execution> mExecutions = new ArrayList<>();
    private final Map<TaskId, JournalRecord.TaskEnded> mFinished = new HashMap<>();
    private final Map<TaskId, JournalRecord.TaskEnded> mCheckpointed = new HashMap<>();

    private final boolean mNetworkCut;
    private final Set<String> mGoneVms = new HashSet<>();
    private boolean mCancelled;

    TaskInvariantChecker(Simulation simulation, boolean networkCut) {
        mNetworkCut = networkCut;
        mSimulation = simulation;
    }

    /** The VM has gone, so that nobody can learn what finished there. */
    void recordVmGone(String vm) {
        mGoneVms.add(vm);
    }

    /** An owner has acknowledged a heartbeat of the VM, or granted it a session. */
    void recordContact(String vm) {
        mLastContactNanos.put(vm, mSimulation.nowNanos());
    }

    void recordStart(Execution started, Resources used, Resources capacity) {
        if (!used.fitsIn(capacity)) {
            mSimulation.recordViolation(1, started.mVm + " runs " + used + " of " + capacity);
        }
        for (Execution other : mExecutions) {
            if (other.mTask.equals(started.mTask)) {
                compareExecutions(other, started);
            }
        }
        mExecutions.add(started);
        JournalRecord.TaskEnded finished = mFinished.get(started.mTask);
        if (finished != null) {
            mSimulation.recordViolation(
                    3, started + " starts after " + finished + " was committed");
        }
        JournalRecord.TaskEnded checkpointed = mCheckpointed.get(started.mTask);
        if (checkpointed != null && started.mStartCheckpoint.isEmpty()) {
            mSimulation.recordViolation(3, started + " starts without " + checkpointed.detail());
        }
    }

    private void compareExecutions(Execution other, Execution started) {
        if (!other.hasEnded()) {
            mSimulation.recordViolation(2, other + " and " + started + " run at the same time");
        }
        if (other.mAttempt == started.mAttempt) {
            mSimulation.recordViolation(3, "attempt runs twice: " + other + " and " + started);
        }
        long lastContactNanos = mLastContactNanos.getOrDefault(other.mVm, 0L);
        boolean unreachable = mNetworkCut || mGoneVms.contains(other.mVm);
        boolean replacedTooEarly =
                !unreachable
                        || started.mStartNanos - lastContactNanos < MIN_REPLACEMENT_DELAY_NANOS;
        if (other.mState == TaskState.FINISHED && replacedTooEarly) {
            mSimulation.recordViolation(3, started + " starts although " + other);
        }
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void recordCommit(JournalRecord record) {
        mCancelled |= record instanceof JournalRecord.JobCancelled;
        if (!(record instanceof JournalRecord.TaskEnded ended)) {
            return;
        }
        if (ended.end() == AttemptEnd.FINISHED) {
            JournalRecord.TaskEnded earlier = mFinished.putIfAbsent(ended.task(), ended);
            if (earlier != null) {
                mSimulation.recordViolation(3, earlier + " and " + ended + " were committed");
            }
        } else if (ended.end() == AttemptEnd.CHECKPOINTED) {
            mCheckpointed.put(ended.task(), ended);
        }
        checkCommittedEnd(ended);
    }

    /** A committed end has to be what the worker executed, and nothing may run after it. */
    private void checkCommittedEnd(JournalRecord.TaskEnded ended) {
        boolean reported =
                ended.end() == AttemptEnd.FINISHED || ended.end() == AttemptEnd.CHECKPOINTED;
        boolean executed =
                mExecutions.stream()
                        .filter(execution -> execution.mTask.equals(ended.task()))
                        .filter(execution -> execution.mAttempt == ended.attempt())
                        .anyMatch(execution -> execution.mState.name().equals(ended.end().name()));
        if (reported && !executed) {
            mSimulation.recordViolation(3, ended + " was committed, but not executed");
        }
        mExecutions.stream()
                .filter(execution -> execution.mTask.equals(ended.task()) && !execution.hasEnded())
                .forEach(
                        execution ->
                                mSimulation.recordViolation(
                                        2, execution + " runs after the commit of " + ended));
    }

    boolean runsBatchTask(String vm) {
        return mExecutions.stream()
                .anyMatch(
                        execution ->
                                execution.mVm.equals(vm)
                                        && !execution.hasEnded()
                                        && !TaskCellRun.isService(execution.mTask));
    }

    /** Checks after a planned stop that no task had to start again. */
    void checkNoTaskRestarted() {
        mExecutions.stream()
                .filter(execution -> execution.mAttempt > 1)
                .forEach(
                        execution ->
                                mSimulation.recordViolation(
                                        9, execution + " was interrupted by a stop"));
    }

    /** Checks at the end that each committed finish was executed. */
    void checkFinishedTasks() {
        mFinished.keySet().stream()
                .filter(
                        task ->
                                mExecutions.stream()
                                        .filter(execution -> execution.mTask.equals(task))
                                        .noneMatch(
                                                execution ->
                                                        execution.mState == TaskState.FINISHED))
                .forEach(task -> mSimulation.recordViolation(3, task + " was never finished"));
    }
}
