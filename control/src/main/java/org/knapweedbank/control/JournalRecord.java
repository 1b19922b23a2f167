package org.knapweedbank.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.LearnedState;

/** One change to the state of a partition. Applying all records in order yields the state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = JournalRecord.JobSubmitted.class, name = "s"),
    @JsonSubTypes.Type(value = JournalRecord.JobResized.class, name = "z"),
    @JsonSubTypes.Type(value = JournalRecord.JobCancelled.class, name = "c"),
    @JsonSubTypes.Type(value = JournalRecord.JobRetired.class, name = "r"),
    @JsonSubTypes.Type(value = JournalRecord.TaskPlaced.class, name = "p"),
    @JsonSubTypes.Type(value = JournalRecord.TaskEnded.class, name = "e"),
    @JsonSubTypes.Type(value = JournalRecord.TaskReplaced.class, name = "x"),
    @JsonSubTypes.Type(value = JournalRecord.VmRegistered.class, name = "v"),
    @JsonSubTypes.Type(value = JournalRecord.VmForgotten.class, name = "f"),
    @JsonSubTypes.Type(value = JournalRecord.SchedulerLearned.class, name = "l"),
    @JsonSubTypes.Type(value = JournalRecord.JobSnapshot.class, name = "j")
})
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public sealed interface JournalRecord {
    /**
     * A job was submitted.
     *
     * @param spec specification of the job
     * @param fromConfiguration true if the configuration lists it
     * @param wallMillis wall-clock time of the submission in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobSubmitted(JobSpec spec, boolean fromConfiguration, long wallMillis)
            implements JournalRecord {}

    /**
     * The number of replicas of a service has changed.
     *
     * @param job identifier of the service's job
     * @param tasks new number of replicas
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobResized(JobId job, int tasks) implements JournalRecord {}

    /**
     * A job was cancelled.
     *
     * @param job identifier of the job
     * @param wallMillis wall-clock time of the cancellation in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobCancelled(JobId job, long wallMillis) implements JournalRecord {}

    /**
     * An ended job was removed from the state after its retention time.
     *
     * @param job identifier of the job
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobRetired(JobId job) implements JournalRecord {}

    /**
     * An attempt of a task was placed on a VM. The owner may send the start only after this record
     * is in the store.
     *
     * @param task identifier of the task
     * @param attempt number of the attempt
     * @param vm identifier of the VM
     * @param reserved resources reserved on the VM; they may differ from the declared ones
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskPlaced(TaskId task, int attempt, VmId vm, Resources reserved)
            implements JournalRecord {}

    /**
     * An attempt has ended; it holds no resources and will not run again.
     *
     * @param task identifier of the task
     * @param attempt number of the attempt
     * @param end how the attempt ended
     * @param detail checkpoint reference of a checkpointed attempt, or the reason of the end
     * @param wallMillis wall-clock time of the end in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskEnded(TaskId task, int attempt, AttemptEnd end, String detail, long wallMillis)
            implements JournalRecord {}

    /**
     * A service replica is replaced by one with a new task identifier. This record does not confirm
     * the end of the replaced replica, which may still run.
     *
     * @param task replica to be replaced
     * @param successor the new replica
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskReplaced(TaskId task, TaskId successor) implements JournalRecord {}

    /**
     * A VM has announced the address of its worker.
     *
     * @param vm identifier of the VM
     * @param workerAddress HOST:PORT of the VM's worker
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record VmRegistered(VmId vm, String workerAddress) implements JournalRecord {}

    /**
     * All leases of a VM have ended and its attempts were ended or replaced.
     *
     * @param vm identifier of the VM
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record VmForgotten(VmId vm) implements JournalRecord {}

    /**
     * What the scheduler has learned about task classes; part of a snapshot.
     *
     * @param state learned state of the scheduler
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SchedulerLearned(LearnedState state) implements JournalRecord {}

    /**
     * Complete state of a job; part of a snapshot.
     *
     * @param spec specification of the job
     * @param fromConfiguration true if the configuration lists it
     * @param cancelled true if the job was cancelled
     * @param submittedMillis wall-clock time of the submission in milliseconds since the Unix epoch
     * @param endedMillis wall-clock time of the end in milliseconds since the Unix epoch, or 0
     * @param tasks states of the job's tasks
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobSnapshot(
            JobSpec spec,
            boolean fromConfiguration,
            boolean cancelled,
            long submittedMillis,
            long endedMillis,
            List<TaskSnapshot> tasks)
            implements JournalRecord {
        /** Makes a defensive copy of the task list. */
        public JobSnapshot {
            tasks = List.copyOf(tasks);
        }
    }
}
