package org.knapweedbank.scheduling.task;

import org.knapweedbank.model.VmId;

/** Something that happened to a task. */
public sealed interface TaskEvent {
    /** The task enters the queue for its first attempt. */
    record Admit() implements TaskEvent {}

    /**
     * The task can never run.
     *
     * @param reason a sentence for the operator
     */
    record Reject(String reason) implements TaskEvent {}

    /**
     * A VM has been chosen for an attempt.
     *
     * @param attempt the attempt
     * @param vm the VM
     */
    record Place(int attempt, VmId vm) implements TaskEvent {}

    /**
     * A placement is given up before the start is sent.
     *
     * @param attempt the attempt
     */
    record WithdrawPlacement(int attempt) implements TaskEvent {}

    /**
     * The start has been, or may have been, sent to the agent.
     *
     * @param attempt the attempt
     */
    record StartSent(int attempt) implements TaskEvent {}

    /**
     * The owner asks the attempt to write a checkpoint and end.
     *
     * @param attempt the attempt
     * @param reason why
     */
    record RequestCheckpoint(int attempt, String reason) implements TaskEvent {}

    /**
     * The operator cancels the task.
     *
     * @param reason a sentence for the operator
     */
    record RequestCancel(String reason) implements TaskEvent {}

    /** Report about an attempt; it may be late, doubled or about a replaced attempt. */
    sealed interface AttemptReport extends TaskEvent {
        /**
         * The attempt that the report is about.
         *
         * @return the attempt
         */
        int attempt();
    }

    /**
     * The agent refused the start; the attempt has not run and never will.
     *
     * @param attempt the attempt
     * @param reason why
     */
    record NotStarted(int attempt, String reason) implements AttemptReport {}

    /**
     * The attempt runs.
     *
     * @param attempt the attempt
     */
    record AttemptRunning(int attempt) implements AttemptReport {}

    /**
     * The attempt is writing its checkpoint.
     *
     * @param attempt the attempt
     */
    record AttemptCheckpointing(int attempt) implements AttemptReport {}

    /**
     * The attempt wrote a checkpoint and has ended.
     *
     * @param attempt the attempt
     * @param checkpoint reference of the checkpoint; empty if nothing could be saved
     */
    record AttemptCheckpointed(int attempt, String checkpoint) implements AttemptReport {}

    /**
     * The attempt completed the work.
     *
     * @param attempt the attempt
     */
    record AttemptFinished(int attempt) implements AttemptReport {}

    /**
     * The attempt ended with an error.
     *
     * @param attempt the attempt
     * @param reason the error
     * @param maxFailures number of failed attempts after which the task fails for good
     */
    record AttemptFailed(int attempt, String reason, int maxFailures) implements AttemptReport {}

    /**
     * The attempt was stopped without a checkpoint.
     *
     * @param attempt the attempt
     */
    record AttemptStopped(int attempt) implements AttemptReport {}

    /**
     * The attempt has certainly ended, since its session and leases have expired.
     *
     * @param attempt the attempt
     */
    record AttemptLost(int attempt) implements AttemptReport {}
}
