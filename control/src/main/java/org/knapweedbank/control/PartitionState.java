package org.knapweedbank.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.LearnedState;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TaskProgress;
import org.knapweedbank.scheduling.task.TransitionResult;

/**
 * State of a partition, computed by applying its journal records in order. An owner applies a
 * record when it appends it, but its effects leave the process only after the record is in the
 * store. A later owner applies the same records when it recovers. Not thread-safe.
 */
final class PartitionState {
    private static final Logger LOG = LogManager.getLogger(PartitionState.class);

    private final Map<JobId, JobEntry> mJobs = new LinkedHashMap<>();
    private final Map<VmId, String> mWorkerAddresses = new LinkedHashMap<>();
    private final Map<VmId, Set<TaskEntry>> mTasksByVm = new LinkedHashMap<>();
    private LearnedState mLearnedState = new LearnedState(List.of(), List.of());

    /** Returns what the owner's scheduler had learned about task classes at the last snapshot. */
    LearnedState learnedState() {
        return mLearnedState;
    }

    void setLearnedState(LearnedState learned) {
        mLearnedState = learned;
    }

    /** Returns HOST:PORT of the worker of a VM, or an empty string if it is not known. */
    String workerAddress(VmId vm) {
        return mWorkerAddresses.getOrDefault(vm, "");
    }

    Optional<JobEntry> job(JobId id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    Collection<JobEntry> jobs() {
        return mJobs.values();
    }

    Optional<TaskEntry> task(TaskId id) {
        return job(id.job()).map(job -> job.task(id.index()));
    }

    /** Returns the tasks that have an attempt on the VM that was placed and has not ended. */
    Set<TaskEntry> tasksOn(VmId vm) {
        return Set.copyOf(mTasksByVm.getOrDefault(vm, Set.of()));
    }

    Set<VmId> occupiedVms() {
        return Set.copyOf(mTasksByVm.keySet());
    }

    void apply(JournalRecord record) {
        switch (record) {
            case JournalRecord.JobSubmitted submitted -> submit(submitted);
            case JournalRecord.JobResized resized -> resize(resized);
            case JournalRecord.JobCancelled cancelled -> cancel(cancelled);
            case JournalRecord.JobRetired retired -> mJobs.remove(retired.job());
            case JournalRecord.TaskPlaced placed ->
                    withTask(placed.task(), task -> place(task, placed));
            case JournalRecord.TaskEnded ended -> withTask(ended.task(), task -> end(task, ended));
            case JournalRecord.TaskReplaced replaced ->
                    withTask(replaced.task(), task -> replace(task, replaced.successor()));
            case JournalRecord.VmRegistered vm -> mWorkerAddresses.put(vm.vm(), vm.workerAddress());
            case JournalRecord.VmForgotten vm -> mWorkerAddresses.remove(vm.vm());
            case JournalRecord.SchedulerLearned learned -> mLearnedState = learned.state();
            case JournalRecord.JobSnapshot snapshot -> restore(snapshot);
        }
    }

    /** Returns the lifecycle event that corresponds to a journaled end of an attempt. */
    static TaskEvent.AttemptReport toEvent(JournalRecord.TaskEnded ended, JobSpec spec) {
        int attempt = ended.attempt();
        return switch (ended.end()) {
            case FINISHED -> new TaskEvent.AttemptFinished(attempt);
            case FAILED -> new TaskEvent.AttemptFailed(attempt, ended.detail(), spec.maxAttempts());
            case CHECKPOINTED -> new TaskEvent.AttemptCheckpointed(attempt, ended.detail());
            case STOPPED -> new TaskEvent.AttemptStopped(attempt);
            case NOT_STARTED -> new TaskEvent.NotStarted(attempt, ended.detail());
            case LOST -> new TaskEvent.AttemptLost(attempt);
        };
    }

    /**
     * Returns records for each job, each VM and the learned state; {@link #apply} restores the
     * state from them.
     */
    List<JournalRecord> snapshot() {
        Stream<JournalRecord> jobs = mJobs.values().stream().map(PartitionState::snapshot);
        Stream<JournalRecord> vms =
                mWorkerAddresses.entrySet().stream()
                        .map(vm -> new JournalRecord.VmRegistered(vm.getKey(), vm.getValue()));
        Stream<JournalRecord> learned =
                Stream.of(new JournalRecord.SchedulerLearned(mLearnedState));
        return Stream.of(jobs, vms, learned).flatMap(Function.identity()).toList();
    }

    private static JournalRecord snapshot(JobEntry job) {
        return new JournalRecord.JobSnapshot(
                job.spec(),
                job.isFromConfiguration(),
                job.isCancelled(),
                job.submittedMillis(),
                job.endedMillis(),
                job.tasks().stream().map(PartitionState::snapshot).toList());
    }

    private static TaskSnapshot snapshot(TaskEntry task) {
        TaskLifecycle state = task.state();
        TaskPhase phase =
                switch (state) {
                    case TaskLifecycle.Submitted submitted -> TaskPhase.PENDING;
                    case TaskLifecycle.Admitted admitted -> TaskPhase.PENDING;
                    case TaskLifecycle.Placed placed -> TaskPhase.PLACED;
                    case TaskLifecycle.Active active ->
                            active.cancelReason().isEmpty()
                                    ? TaskPhase.PLACED
                                    : TaskPhase.CANCELLING;
                    case TaskLifecycle.Finished finished -> TaskPhase.FINISHED;
                    case TaskLifecycle.Failed failed -> TaskPhase.FAILED;
                    case TaskLifecycle.Cancelled cancelled -> TaskPhase.CANCELLED;
                };
        TaskProgress progress = state.progress();
        return new TaskSnapshot(
                task.id().index(),
                phase,
                progress.attempt(),
                progress.failures(),
                vmName(task),
                task.reserved(),
                progress.checkpoint(),
                task.detail());
    }

    private static String vmName(TaskEntry task) {
        if (task.state() instanceof TaskLifecycle.Finished finished) {
            return finished.vm().value();
        }
        return task.vm() == null ? "" : task.vm().value();
    }

    private void submit(JournalRecord.JobSubmitted record) {
        JobEntry job = new JobEntry(record.spec(), record.fromConfiguration(), record.wallMillis());
        mJobs.put(job.id(), job);
        addTasks(job, record.spec().tasks());
    }

    private void addTasks(JobEntry job, int count) {
        IntStream.range(0, count).forEach(i -> addTask(job, job.nextIndex()));
    }

    private void addTask(JobEntry job, int index) {
        TaskEntry task =
                new TaskEntry(new TaskId(job.id(), index), job, new TaskLifecycle.Submitted());
        task.apply(new TaskEvent.Admit());
        job.add(task);
    }

    private void resize(JournalRecord.JobResized record) {
        job(record.job()).ifPresent(job -> resize(job, record.tasks()));
    }

    /** Adds tasks to a job or cancels surplus ones, so that the given number of tasks remains. */
    private void resize(JobEntry job, int tasks) {
        List<TaskEntry> remaining =
                job.tasks().stream()
                        .filter(task -> !task.state().ended() && !task.isCancelling())
                        .toList();
        addTasks(job, Math.max(0, tasks - remaining.size()));
        remaining.stream()
                .skip(tasks)
                .forEach(task -> transition(task, new TaskEvent.RequestCancel("fewer replicas")));
        job.setSpec(withTaskCount(job.spec(), tasks));
    }

    private static JobSpec withTaskCount(JobSpec spec, int tasks) {
        return new JobSpec(
                spec.id(),
                spec.team(),
                spec.kind(),
                spec.taskClass(),
                tasks,
                spec.resources(),
                spec.priority(),
                spec.urgent(),
                spec.expectedSeconds(),
                spec.maxAttempts(),
                spec.command());
    }

    private void cancel(JournalRecord.JobCancelled record) {
        job(record.job())
                .ifPresent(
                        job -> {
                            job.markCancelled();
                            job.tasks().forEach(task -> cancel(task, "cancelled by an operator"));
                            recordJobEnd(job, record.wallMillis());
                        });
    }

    private void cancel(TaskEntry task, String reason) {
        if (!task.state().ended()) {
            assumeStarted(task);
            transition(task, new TaskEvent.RequestCancel(reason));
        }
    }

    /**
     * Treats a placed attempt as started. The journal does not record that a start was sent, so a
     * placed attempt must be assumed to have started. An owner that knows that the start was not
     * sent ends the attempt with {@link AttemptEnd#NOT_STARTED}.
     */
    private static void assumeStarted(TaskEntry task) {
        if (task.isPlaced()) {
            task.apply(new TaskEvent.StartSent(task.attempt()));
        }
    }

    private void place(TaskEntry task, JournalRecord.TaskPlaced record) {
        task.setReserved(record.reserved());
        transition(task, new TaskEvent.Place(record.attempt(), record.vm()));
    }

    private void end(TaskEntry task, JournalRecord.TaskEnded record) {
        assumeStarted(task);
        if (record.end() != AttemptEnd.FINISHED && record.end() != AttemptEnd.CHECKPOINTED) {
            task.setDetail(record.detail());
        }
        transition(task, toEvent(record, task.job().spec()));
        recordJobEnd(task.job(), record.wallMillis());
    }

    /** Cancels a replica and adds its successor to the job. */
    private void replace(TaskEntry task, TaskId successor) {
        assumeStarted(task);
        transition(task, new TaskEvent.RequestCancel("replaced by " + successor));
        task.setSuccessor(successor);
        addTask(task.job(), successor.index());
    }

    private void restore(JournalRecord.JobSnapshot record) {
        JobEntry job =
                new JobEntry(record.spec(), record.fromConfiguration(), record.submittedMillis());
        if (record.cancelled()) {
            job.markCancelled();
        }
        job.setEndedMillis(record.endedMillis());
        record.tasks().forEach(task -> restore(job, task));
        mJobs.put(job.id(), job);
    }

    private void restore(JobEntry job, TaskSnapshot snapshot) {
        TaskProgress progress =
                new TaskProgress(snapshot.attempt(), snapshot.checkpoint(), snapshot.failures());
        TaskEntry task =
                new TaskEntry(
                        new TaskId(job.id(), snapshot.index()), job, restore(snapshot, progress));
        task.setDetail(snapshot.detail());
        task.setReserved(snapshot.reserved());
        job.add(task);
        addToVmIndex(task);
    }

    private static TaskLifecycle restore(TaskSnapshot snapshot, TaskProgress progress) {
        return switch (snapshot.phase()) {
            case PENDING -> new TaskLifecycle.Admitted(progress);
            case PLACED -> new TaskLifecycle.Placed(progress, new VmId(snapshot.vm()));
            case CANCELLING ->
                    new TaskLifecycle.Starting(
                            progress, new VmId(snapshot.vm()), "cancelled before a takeover");
            case FINISHED -> new TaskLifecycle.Finished(progress, new VmId(snapshot.vm()));
            case FAILED -> new TaskLifecycle.Failed(progress, snapshot.detail());
            case CANCELLED -> new TaskLifecycle.Cancelled(progress, snapshot.detail());
        };
    }

    /** Records the end of a job once all its tasks have ended. */
    private void recordJobEnd(JobEntry job, long wallMillis) {
        if (job.endedMillis() == 0 && job.isEnded()) {
            job.setEndedMillis(wallMillis);
        }
    }

    /** Treats all placed attempts as started; called after recovery. */
    void assumeAllStarted() {
        mTasksByVm.values().forEach(tasks -> tasks.forEach(PartitionState::assumeStarted));
    }

    private void withTask(TaskId id, Consumer<TaskEntry> action) {
        Optional<TaskEntry> task = task(id);
        if (task.isEmpty()) {
            LOG.warn("[control] journal record refers to the unknown task {}", id);
        }
        task.ifPresent(action);
    }

    /** Applies an event to a task and updates the index of tasks by VM. */
    private void transition(TaskEntry task, TaskEvent event) {
        VmId before = task.vm();
        if (task.apply(event) instanceof TransitionResult.Impossible impossible) {
            LOG.warn("[control] {}: {}", task.id(), impossible.reason());
        }
        if (before != null && !before.equals(task.vm())) {
            removeFromVmIndex(task, before);
        }
        addToVmIndex(task);
    }

    private void addToVmIndex(TaskEntry task) {
        if (task.vm() != null) {
            mTasksByVm.computeIfAbsent(task.vm(), vm -> new LinkedHashSet<>()).add(task);
        }
    }

    private void removeFromVmIndex(TaskEntry task, VmId vm) {
        Set<TaskEntry> tasks = mTasksByVm.get(vm);
        if (tasks != null) {
            tasks.remove(task);
            if (tasks.isEmpty()) {
                mTasksByVm.remove(vm);
            }
        }
    }
}
