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

/** One change of a partition's state. The state is the result of applying all records in order. */
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
     * @param spec the job
     * @param fromConfiguration true if the configuration lists it
     * @param wallMillis wall time of submission in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobSubmitted(JobSpec spec, boolean fromConfiguration, long wallMillis)
            implements JournalRecord {}

    /**
     * The number of replicas of a service has changed.
     *
     * @param job the job
     * @param tasks new number of replicas
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobResized(JobId job, int tasks) implements JournalRecord {}

    /**
     * A job was cancelled.
     *
     * @param job the job
     * @param wallMillis wall time in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobCancelled(JobId job, long wallMillis) implements JournalRecord {}

    /**
     * An ended job is removed from the state.
     *
     * @param job the job
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record JobRetired(JobId job) implements JournalRecord {}

    /**
     * An attempt of a task was placed on a VM. Its start may only be sent after this record is in
     * the store.
     *
     * @param task the task
     * @param attempt the attempt
     * @param vm the VM
     * @param reserved resources reserved on the VM; they may differ from the declared ones
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskPlaced(TaskId task, int attempt, VmId vm, Resources reserved)
            implements JournalRecord {}

    /**
     * An attempt has ended; it holds no resources and will not run again.
     *
     * @param task the task
     * @param attempt the attempt
     * @param end how it ended
     * @param detail checkpoint reference or reason of the failure
     * @param wallMillis wall time in milliseconds since the Unix epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskEnded(TaskId task, int attempt, AttemptEnd end, String detail, long wallMillis)
            implements JournalRecord {}

    /**
     * A service replica is given up and a replica with a new identity takes its place. The end of
     * the former is not confirmed by this record.
     *
     * @param task the replica given up
     * @param successor the new replica
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TaskReplaced(TaskId task, TaskId successor) implements JournalRecord {}

    /**
     * A VM has told the address of its worker.
     *
     * @param vm the VM
     * @param workerAddress HOST:PORT of its worker
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record VmRegistered(VmId vm, String workerAddress) implements JournalRecord {}

    /**
     * All leases of a VM have ended and its tasks have been dealt with.
     *
     * @param vm the VM
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record VmForgotten(VmId vm) implements JournalRecord {}

    /**
     * What the scheduler has learned, as part of a snapshot.
     *
     * @param state the learned state
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SchedulerLearned(LearnedState state) implements JournalRecord {}

    /**
     * Whole state of a job, as part of a snapshot.
     *
     * @param spec the job
     * @param fromConfiguration true if the configuration lists it
     * @param cancelled true if it was cancelled
     * @param submittedMillis wall time of submission
     * @param endedMillis wall time of the end, or 0
     * @param tasks its tasks
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
        /** Copies the list. */
        public JobSnapshot {
            tasks = List.copyOf(tasks);
        }
    }
}
