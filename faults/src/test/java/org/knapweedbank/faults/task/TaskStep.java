package org.knapweedbank.faults.task;

/** Steps in the life of a task and its partition at which faults are injected. */
public enum TaskStep {
    /** The owner appends a submitted job to the journal. */
    SUBMITTED(Scenario.PLAIN),
    /** The owner appends the placement of a task. */
    PLACED(Scenario.PLAIN),
    /** The owner sends a start of a task without a checkpoint. */
    START_SENT(Scenario.PLAIN),
    /** A worker starts a task without a checkpoint. */
    STARTING(Scenario.PLAIN),
    /** The agent reports a task as running. */
    RUNNING(Scenario.PLAIN),
    /** The agent reports a task as finished. */
    FINISH_REPORTED(Scenario.PLAIN),
    /** The end of an attempt has been committed. */
    FINISH_COMMITTED(Scenario.PLAIN),
    /** The agent reports a task as failed. */
    FAILURE_REPORTED(Scenario.FAILING),
    /** A data centre has been taken out of service. */
    DATA_CENTRE_OUT(Scenario.DRAIN),
    /** The owner requests a checkpoint. */
    CHECKPOINT_SENT(Scenario.DRAIN),
    /** A worker begins a checkpoint. */
    CHECKPOINTING(Scenario.DRAIN),
    /** The agent reports a task as checkpointed. */
    CHECKPOINT_REPORTED(Scenario.DRAIN),
    /** The owner sends a start from a checkpoint. */
    RESUME_SENT(Scenario.DRAIN),
    /** A worker starts a task from a checkpoint. */
    RESUMING(Scenario.DRAIN),
    /** The data centre has been returned to service. */
    DATA_CENTRE_IN(Scenario.DRAIN),
    /** The data centre of a task is about to be taken out of service while the task starts. */
    OUT_DURING_START(Scenario.DRAIN_AT_START),
    /** The operator has requested a cancellation. */
    CANCEL_REQUESTED(Scenario.CANCEL),
    /** The owner sends a stop of a task. */
    CANCEL_SENT(Scenario.CANCEL),
    /** The agent reports a task as stopped. */
    CANCEL_REPORTED(Scenario.CANCEL),
    /** Another entry has taken over the partition after the owner was killed. */
    TAKEOVER(Scenario.TAKEOVER),
    /** The new owner has opened a session with an agent. */
    SESSION_OF_NEW_OWNER(Scenario.TAKEOVER),
    /**
     * Another entry has taken over the partition while the former owner is cut off from the store.
     */
    FORMER_OWNER_CUT_OFF(Scenario.STORE_CUT),
    /** The new owner has opened a session while the former owner is cut off from the store. */
    SESSION_AFTER_CUT_OFF(Scenario.STORE_CUT),
    /** The new owner has opened a session with an agent whose VM still runs a batch task. */
    SESSION_AFTER_MOVE(Scenario.STORE_CUT_MOVED),
    /**
     * The agent reports a task as finished that the new owner has started while the former owner is
     * cut off from the store.
     */
    FINISH_AFTER_MOVE(Scenario.STORE_CUT_BEFORE_JOB),
    /** The owner begins its planned stop. */
    OWNER_STOPPING(Scenario.STOP),
    /** The new owner has opened a session after the planned stop of the former one. */
    SESSION_AFTER_STOP(Scenario.STOP);

    /** What happens in a cell apart from the faults. */
    enum Scenario {
        /** No event besides the faults. */
        PLAIN,
        /** All tasks fail. */
        FAILING,
        /** The data centre of a running task is taken out of service for 30 s. */
        DRAIN,
        /** The data centre of a starting task is taken out of service for 30 s. */
        DRAIN_AT_START,
        /** The batch job is cancelled. */
        CANCEL,
        /** The owner is killed and restarted. */
        TAKEOVER,
        /** The owner is cut off from the store for 260 s. */
        STORE_CUT,
        /** The owner is cut off from the store, and the agents move to the next owner. */
        STORE_CUT_MOVED,
        /**
         * The owner is cut off from the store, the agents move to the next owner, and the batch job
         * is submitted to that one.
         */
        STORE_CUT_BEFORE_JOB,
        /** The owner performs a planned stop and releases its partition. */
        STOP
    }

    private final Scenario mScenario;

    TaskStep(Scenario scenario) {
        mScenario = scenario;
    }

    Scenario scenario() {
        return mScenario;
    }
}
