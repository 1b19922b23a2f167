package org.knapweedbank.scheduling.task;

import org.knapweedbank.model.VmId;

/**
 * State of a task. Only {@link TaskTransitions} computes the next state.
 *
 * <p>A cancellation that is requested while an attempt may be running is recorded in the state. It
 * takes effect when the attempt is known to have ended, because the task holds resources until
 * then.
 */
public sealed interface TaskLifecycle {
    /**
     * Returns the data that the task keeps across attempts.
     *
     * @return the progress
     */
    TaskProgress progress();

    /**
     * Returns the number of the current attempt.
     *
     * @return the number, from 1; 0 before admission
     */
    default int attempt() {
        return progress().attempt();
    }

    /**
     * Returns whether the task is in a final state.
     *
     * @return true if finished, failed or cancelled
     */
    default boolean ended() {
        return this instanceof Finished || this instanceof Failed || this instanceof Cancelled;
    }

    /** State in which an attempt may be running on a VM. */
    sealed interface Active extends TaskLifecycle {
        /**
         * Returns the VM of the attempt.
         *
         * @return the VM
         */
        VmId vm();

        /**
         * Returns the reason of a requested cancellation.
         *
         * @return the reason, or empty if no cancellation is requested
         */
        String cancelReason();

        /**
         * Returns this state with a cancellation requested.
         *
         * @param reason reason of the cancellation, not empty
         * @return the new state
         */
        Active withCancellation(String reason);
    }

    /** The job has been submitted; the task has not been admitted. */
    record Submitted() implements TaskLifecycle {
        @Override
        public TaskProgress progress() {
            return TaskProgress.NONE;
        }
    }

    /**
     * The task waits for a VM in the pending queue.
     *
     * @param progress progress whose attempt is the next one to start
     */
    record Admitted(TaskProgress progress) implements TaskLifecycle {}

    /**
     * A VM has been selected and the start request has not been sent. An owner that restores this
     * state from the journal does not know whether the previous owner sent the start request, and
     * therefore applies {@link TaskEvent.StartSent} first.
     *
     * @param progress progress with the current attempt
     * @param vm the selected VM
     */
    record Placed(TaskProgress progress, VmId vm) implements TaskLifecycle {}

    /**
     * The request to start the task from its beginning has been sent.
     *
     * @param progress progress with the current attempt
     * @param vm VM of the attempt
     * @param cancelReason reason of a requested cancellation, or empty
     */
    record Starting(TaskProgress progress, VmId vm, String cancelReason) implements Active {
        @Override
        public Starting withCancellation(String reason) {
            return new Starting(progress, vm, reason);
        }
    }

    /**
     * The request to start the task from a checkpoint has been sent.
     *
     * @param progress progress with the current attempt and the checkpoint
     * @param vm VM of the attempt
     * @param cancelReason reason of a requested cancellation, or empty
     */
    record Resuming(TaskProgress progress, VmId vm, String cancelReason) implements Active {
        @Override
        public Resuming withCancellation(String reason) {
            return new Resuming(progress, vm, reason);
        }
    }

    /**
     * The attempt is running.
     *
     * @param progress progress with the current attempt
     * @param vm VM of the attempt
     * @param cancelReason reason of a requested cancellation, or empty
     */
    record Running(TaskProgress progress, VmId vm, String cancelReason) implements Active {
        @Override
        public Running withCancellation(String reason) {
            return new Running(progress, vm, reason);
        }
    }

    /**
     * The attempt has been asked to write a checkpoint and end, or has reported that it is doing
     * so.
     *
     * @param progress progress with the current attempt
     * @param vm VM of the attempt
     * @param reason why the checkpoint is written
     * @param cancelReason reason of a requested cancellation, or empty
     */
    record Checkpointing(TaskProgress progress, VmId vm, String reason, String cancelReason)
            implements Active {
        @Override
        public Checkpointing withCancellation(String cancellation) {
            return new Checkpointing(progress, vm, reason, cancellation);
        }
    }

    /**
     * The task is complete.
     *
     * @param progress progress with the attempt that completed the task
     * @param vm VM on which that attempt ran
     */
    record Finished(TaskProgress progress, VmId vm) implements TaskLifecycle {}

    /**
     * The task has failed permanently.
     *
     * @param progress progress with the last attempt
     * @param reason explanation for the operator
     */
    record Failed(TaskProgress progress, String reason) implements TaskLifecycle {}

    /**
     * The task has been cancelled and holds no resources.
     *
     * @param progress progress with the last attempt
     * @param reason reason of the cancellation
     */
    record Cancelled(TaskProgress progress, String reason) implements TaskLifecycle {}
}
