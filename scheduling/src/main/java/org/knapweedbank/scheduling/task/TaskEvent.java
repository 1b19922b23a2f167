package org.knapweedbank.scheduling.task;

import org.knapweedbank.model.VmId;

/** Event in the life cycle of a task. */
public sealed interface TaskEvent {
    /** The task is admitted to the pending queue for its first attempt. */
    record Admit() implements TaskEvent {}

    /**
     * The task is rejected because it can never run.
     *
     * @param reason explanation for the operator
     */
    record Reject(String reason) implements TaskEvent {}

    /**
     * A VM has been selected for an attempt.
     *
     * @param attempt number of the attempt
     * @param vm the selected VM
     */
    record Place(int attempt, VmId vm) implements TaskEvent {}

    /**
     * The placement of an attempt is withdrawn before its start request is sent.
     *
     * @param attempt number of the attempt
     */
    record WithdrawPlacement(int attempt) implements TaskEvent {}

    /**
     * The start request has been sent to the agent, or may have been sent.
     *
     * @param attempt number of the attempt
     */
    record StartSent(int attempt) implements TaskEvent {}

    /**
     * The owner asks an attempt to write a checkpoint and end.
     *
     * @param attempt number of the attempt
     * @param reason why the checkpoint is requested
     */
    record RequestCheckpoint(int attempt, String reason) implements TaskEvent {}

    /**
     * An operator cancels the task.
     *
     * @param reason reason of the cancellation, or empty
     */
    record RequestCancel(String reason) implements TaskEvent {}

    /**
     * Report about an attempt. It may arrive late or twice and may concern an attempt that has been
     * replaced.
     */
    sealed interface AttemptReport extends TaskEvent {
        /**
         * Returns the number of the attempt that the report concerns.
         *
         * @return the number
         */
        int attempt();
    }

    /**
     * The agent refused to start the attempt. It has not run and never will.
     *
     * @param attempt number of the attempt
     * @param reason why the agent refused
     */
    record NotStarted(int attempt, String reason) implements AttemptReport {}

    /**
     * The attempt is running.
     *
     * @param attempt number of the attempt
     */
    record AttemptRunning(int attempt) implements AttemptReport {}

    /**
     * The attempt is writing its checkpoint.
     *
     * @param attempt number of the attempt
     */
    record AttemptCheckpointing(int attempt) implements AttemptReport {}

    /**
     * The attempt wrote a checkpoint and ended.
     *
     * @param attempt number of the attempt
     * @param checkpoint reference of the checkpoint; empty if nothing could be saved
     */
    record AttemptCheckpointed(int attempt, String checkpoint) implements AttemptReport {}

    /**
     * The attempt completed the task.
     *
     * @param attempt number of the attempt
     */
    record AttemptFinished(int attempt) implements AttemptReport {}

    /**
     * The attempt ended with an error.
     *
     * @param attempt number of the attempt
     * @param reason description of the error
     * @param maxFailures number of failed attempts at which the task fails permanently
     */
    record AttemptFailed(int attempt, String reason, int maxFailures) implements AttemptReport {}

    /**
     * The attempt was stopped without a checkpoint.
     *
     * @param attempt number of the attempt
     */
    record AttemptStopped(int attempt) implements AttemptReport {}

    /**
     * The attempt is known to have ended because its session and leases have expired.
     *
     * @param attempt number of the attempt
     */
    record AttemptLost(int attempt) implements AttemptReport {}
}
