package org.knapweedbank.scheduling.task;

import org.knapweedbank.model.VmId;

/**
 * State of a task. {@link TaskTransitions} is the only place that changes it.
 *
 * <p>A cancellation that arrives while an attempt may be running is recorded in the state and takes
 * effect when the end of the attempt is known, since the task holds resources until then.
 */
public sealed interface TaskLifecycle {
    /**
     * What the task keeps from one attempt to the next.
     *
     * @return the progress
     */
    TaskProgress progress();

    /**
     * Number of the current attempt.
     *
     * @return the attempt, from 1; 0 before admission
     */
    default int attempt() {
        return progress().attempt();
    }

    /**
     * Tells whether the task has reached its last state.
     *
     * @return true if finished, failed or cancelled
     */
    default boolean ended() {
        return this instanceof Finished || this instanceof Failed || this instanceof Cancelled;
    }

    /** State in which an attempt may be running on a VM. */
    sealed interface Active extends TaskLifecycle {
        /**
         * VM of the attempt.
         *
         * @return the VM
         */
        VmId vm();

        /**
         * Reason of a requested cancellation.
         *
         * @return the reason, or empty if none is requested
         */
        String cancelReason();

        /**
         * The same state with a cancellation requested.
         *
         * @param reason the reason, not empty
         * @return the state
         */
        Active withCancellation(String reason);
    }

    /** The job is known; the task has not been admitted. */
    record Submitted() implements TaskLifecycle {
        @Override
        public TaskProgress progress() {
            return TaskProgress.NONE;
        }
    }

    /**
     * The task waits in the queue for a VM.
     *
     * @param progress its attempt is the one that is to start
     */
    record Admitted(TaskProgress progress) implements TaskLifecycle {}

    /**
     * A VM is chosen and the start has not been sent. An owner that restores this state from the
     * journal does not know whether its predecessor sent the start, and applies {@link
     * TaskEvent.StartSent} first.
     *
     * @param progress progress with the current attempt
     * @param vm the VM
     */
    record Placed(TaskProgress progress, VmId vm) implements TaskLifecycle {}

    /**
     * The start from the beginning has been sent.
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
     * The start from a checkpoint has been sent.
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
     * The attempt runs.
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
     * The attempt has been asked to write a checkpoint and end, or reports that it does so.
     *
     * @param progress progress with the current attempt
     * @param vm VM of the attempt
     * @param reason why the checkpoint is taken
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
     * The work is complete.
     *
     * @param progress progress with the attempt that completed it
     * @param vm VM on which it completed
     */
    record Finished(TaskProgress progress, VmId vm) implements TaskLifecycle {}

    /**
     * The task has failed for good.
     *
     * @param progress progress with the last attempt
     * @param reason a sentence for the operator
     */
    record Failed(TaskProgress progress, String reason) implements TaskLifecycle {}

    /**
     * The task has been cancelled and holds no resources.
     *
     * @param progress progress with the last attempt
     * @param reason a sentence for the operator
     */
    record Cancelled(TaskProgress progress, String reason) implements TaskLifecycle {}
}
