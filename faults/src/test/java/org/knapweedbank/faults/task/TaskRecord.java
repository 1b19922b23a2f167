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
final class TaskRecord {
    /**
     * Shortest time without a heartbeat of a VM after which its attempts may be replaced: session
     * and lease of 30 s each, and the drift that the clocks may add or take away.
     */
    private static final long REPLACED_AFTER_NANOS = Duration.ofSeconds(59).toNanos();

    private final Simulation mSimulation;
    private final Map<String, Long> mHeard = new HashMap<>();
    private final List<Execution> mExecutions = new ArrayList<>();
    private final Map<TaskId, JournalRecord.TaskEnded> mFinished = new HashMap<>();
    private final Map<TaskId, JournalRecord.TaskEnded> mCheckpointed = new HashMap<>();

    private final boolean mCut;
    private final Set<String> mGone = new HashSet<>();
    private boolean mCancelled;

    TaskRecord(Simulation simulation, boolean cut) {
        mCut = cut;
        mSimulation = simulation;
    }

    /** The VM has gone, so that nobody can learn what finished there. */
    void gone(String vm) {
        mGone.add(vm);
    }

    /** An owner has acknowledged a heartbeat of the VM, or granted it a session. */
    void heard(String vm) {
        mHeard.put(vm, mSimulation.now());
    }

    void started(Execution started, Resources used, Resources capacity) {
        if (!used.fitsIn(capacity)) {
            mSimulation.violate(1, started.mVm + " runs " + used + " of " + capacity);
        }
        for (Execution other : mExecutions) {
            if (other.mTask.equals(started.mTask)) {
                compare(other, started);
            }
        }
        mExecutions.add(started);
        JournalRecord.TaskEnded finished = mFinished.get(started.mTask);
        if (finished != null) {
            mSimulation.violate(3, started + " starts after " + finished + " was committed");
        }
        JournalRecord.TaskEnded checkpointed = mCheckpointed.get(started.mTask);
        if (checkpointed != null && started.mFromCheckpoint.isEmpty()) {
            mSimulation.violate(3, started + " starts without " + checkpointed.detail());
        }
    }

    private void compare(Execution other, Execution started) {
        if (!other.ended()) {
            mSimulation.violate(2, other + " and " + started + " run at the same time");
        }
        if (other.mAttempt == started.mAttempt) {
            mSimulation.violate(3, "attempt runs twice: " + other + " and " + started);
        }
        long heard = mHeard.getOrDefault(other.mVm, 0L);
        boolean unreachable = mCut || mGone.contains(other.mVm);
        boolean early = !unreachable || started.mStartNanos - heard < REPLACED_AFTER_NANOS;
        if (other.mState == TaskState.FINISHED && early) {
            mSimulation.violate(3, started + " starts although " + other);
        }
    }

    boolean cancelled() {
        return mCancelled;
    }

    void committed(JournalRecord record) {
        mCancelled |= record instanceof JournalRecord.JobCancelled;
        if (!(record instanceof JournalRecord.TaskEnded ended)) {
            return;
        }
        if (ended.end() == AttemptEnd.FINISHED) {
            JournalRecord.TaskEnded earlier = mFinished.putIfAbsent(ended.task(), ended);
            if (earlier != null) {
                mSimulation.violate(3, earlier + " and " + ended + " were committed");
            }
        } else if (ended.end() == AttemptEnd.CHECKPOINTED) {
            mCheckpointed.put(ended.task(), ended);
        }
        confirm(ended);
    }

    /** A committed end has to be what the worker executed, and nothing may run after it. */
    private void confirm(JournalRecord.TaskEnded ended) {
        boolean reported =
                ended.end() == AttemptEnd.FINISHED || ended.end() == AttemptEnd.CHECKPOINTED;
        boolean executed =
                mExecutions.stream()
                        .filter(run -> run.mTask.equals(ended.task()))
                        .filter(run -> run.mAttempt == ended.attempt())
                        .anyMatch(run -> run.mState.name().equals(ended.end().name()));
        if (reported && !executed) {
            mSimulation.violate(3, ended + " was committed, but not executed");
        }
        mExecutions.stream()
                .filter(run -> run.mTask.equals(ended.task()) && !run.ended())
                .forEach(run -> mSimulation.violate(2, run + " runs after the commit of " + ended));
    }

    /** Checks after a planned stop that no task had to start again. */
    void checkNothingRepeated() {
        mExecutions.stream()
                .filter(run -> run.mAttempt > 1)
                .forEach(run -> mSimulation.violate(9, run + " was interrupted by a stop"));
    }

    /** Checks at the end that each committed finish was executed. */
    void check() {
        mFinished.keySet().stream()
                .filter(
                        task ->
                                mExecutions.stream()
                                        .filter(run -> run.mTask.equals(task))
                                        .noneMatch(run -> run.mState == TaskState.FINISHED))
                .forEach(task -> mSimulation.violate(3, task + " was never finished"));
    }
}
