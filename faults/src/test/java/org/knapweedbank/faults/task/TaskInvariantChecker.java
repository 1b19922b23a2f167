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

/**
 * Records the executions and commits of a cell and checks the invariants 1 to 3, and 9 after a
 * planned stop.
 */
final class TaskInvariantChecker {
    /**
     * Shortest time since the last contact with a VM after which its attempts may be replaced: 30 s
     * for the session and 30 s for the lease, less the possible drift of the clocks.
     */
    private static final long MIN_REPLACEMENT_DELAY_NANOS = Duration.ofSeconds(59).toNanos();

    private final Simulation mSimulation;

    /**
     * Virtual time at which an owner last sent a VM a heartbeat acknowledgement or a session that
     * the VM may accept, by VM.
     */
    private final Map<String, Long> mLastContactNanos = new HashMap<>();

    /** Highest epoch of the heartbeat acknowledgements sent to a VM, by VM. */
    private final Map<String, Long> mAcknowledgedEpoch = new HashMap<>();

    /** Executions in the order of their starts. */
    private final List<Execution> mExecutions = new ArrayList<>();

    /** Committed record of the finish of each finished task. */
    private final Map<TaskId, JournalRecord.TaskEnded> mFinished = new HashMap<>();

    /** Latest committed checkpoint of each task. */
    private final Map<TaskId, JournalRecord.TaskEnded> mCheckpointed = new HashMap<>();

    /** Whether the cell includes a network cut, so that any VM may have become unreachable. */
    private final boolean mNetworkCut;

    /** VMs that were removed. */
    private final Set<String> mGoneVms = new HashSet<>();

    /** Whether a cancellation of a job has been committed. */
    private boolean mCancelled;

    TaskInvariantChecker(Simulation simulation, boolean networkCut) {
        mNetworkCut = networkCut;
        mSimulation = simulation;
    }

    /** Records that a VM was removed, so that it can no longer be learned what finished there. */
    void recordVmGone(String vm) {
        mGoneVms.add(vm);
    }

    /** Records that an owner has acknowledged a heartbeat of a VM. */
    void recordAcknowledgement(String vm, long epoch) {
        mAcknowledgedEpoch.merge(vm, epoch, Math::max);
        mLastContactNanos.put(vm, mSimulation.nowNanos());
    }

    /**
     * Records that an owner has sent a VM a session. A session of a former owner is no contact: an
     * agent that sends heartbeats under a higher epoch refuses it, and its leases are not renewed.
     * If the agent accepts it nevertheless, the acknowledgements of its heartbeats are contacts.
     */
    void recordGrant(String vm, long epoch) {
        if (epoch >= mAcknowledgedEpoch.getOrDefault(vm, 0L)) {
            mLastContactNanos.put(vm, mSimulation.nowNanos());
        }
    }

    /**
     * Records an execution and checks it against the capacity of the VM and against earlier
     * executions and commits.
     *
     * @param usedResources resources of all running executions of the VM, including this one
     */
    void recordStart(Execution started, Resources usedResources, Resources capacity) {
        if (!usedResources.fitsIn(capacity)) {
            mSimulation.recordViolation(
                    1, started.mVm + " runs " + usedResources + " of " + capacity);
        }
        for (Execution earlier : mExecutions) {
            if (earlier.mTask.equals(started.mTask)) {
                compareExecutions(earlier, started);
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

    /** Checks a new execution against an earlier one of the same task. */
    private void compareExecutions(Execution earlier, Execution started) {
        if (!earlier.hasEnded()) {
            mSimulation.recordViolation(2, earlier + " and " + started + " run at the same time");
        }
        if (earlier.mAttempt == started.mAttempt) {
            mSimulation.recordViolation(3, "attempt runs twice: " + earlier + " and " + started);
        }
        long lastContactNanos = mLastContactNanos.getOrDefault(earlier.mVm, 0L);
        boolean unreachable = mNetworkCut || mGoneVms.contains(earlier.mVm);
        boolean replacementForbidden =
                !unreachable
                        || started.mStartNanos - lastContactNanos < MIN_REPLACEMENT_DELAY_NANOS;
        if (earlier.mState == TaskState.FINISHED && replacementForbidden) {
            mSimulation.recordViolation(3, started + " starts although " + earlier);
        }
    }

    /** Returns whether a cancellation of a job has been committed. */
    boolean isCancelled() {
        return mCancelled;
    }

    /** Records a committed journal record and checks a committed end of an attempt. */
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

    /**
     * Checks that the worker reached a committed end and that no execution of the task continues
     * after it.
     */
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

    /** Returns whether a task of the batch job runs on a VM. */
    boolean runsBatchTask(String vm) {
        return mExecutions.stream()
                .anyMatch(
                        execution ->
                                execution.mVm.equals(vm)
                                        && !execution.hasEnded()
                                        && !TaskCellRun.isService(execution.mTask));
    }

    /** Checks after a planned stop that no task had to be started again. */
    void checkNoTaskRestarted() {
        mExecutions.stream()
                .filter(execution -> execution.mAttempt > 1)
                .forEach(
                        execution ->
                                mSimulation.recordViolation(
                                        9, execution + " was interrupted by a stop"));
    }

    /** Checks at the end that each committed finish took place at a worker. */
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
