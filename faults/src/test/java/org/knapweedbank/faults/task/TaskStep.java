package org.knapweedbank.faults.task;

/** Points in the life of a task and its partition at which a fault is put. */
public enum TaskStep {
    SUBMITTED(Scenario.PLAIN),
    PLACED(Scenario.PLAIN),
    START_SENT(Scenario.PLAIN),
    STARTING(Scenario.PLAIN),
    RUNNING(Scenario.PLAIN),
    FINISH_REPORTED(Scenario.PLAIN),
    FINISH_COMMITTED(Scenario.PLAIN),
    FAILURE_REPORTED(Scenario.FAILING),
    DATA_CENTRE_OUT(Scenario.DRAIN),
    CHECKPOINT_SENT(Scenario.DRAIN),
    CHECKPOINTING(Scenario.DRAIN),
    CHECKPOINT_REPORTED(Scenario.DRAIN),
    RESUME_SENT(Scenario.DRAIN),
    RESUMING(Scenario.DRAIN),
    DATA_CENTRE_IN(Scenario.DRAIN),
    OUT_DURING_START(Scenario.DRAIN_AT_START),
    CANCEL_REQUESTED(Scenario.CANCEL),
    CANCEL_SENT(Scenario.CANCEL),
    CANCEL_REPORTED(Scenario.CANCEL),
    TAKEOVER(Scenario.TAKEOVER),
    SESSION_OF_NEW_OWNER(Scenario.TAKEOVER),
    FORMER_OWNER_CUT_OFF(Scenario.STORE_CUT),
    SESSION_AFTER_CUT_OFF(Scenario.STORE_CUT),
    SESSION_AFTER_MOVE(Scenario.STORE_CUT_MOVED),
    OWNER_STOPPING(Scenario.STOP),
    SESSION_AFTER_STOP(Scenario.STOP);

    /** What happens in the cell apart from the fault. */
    enum Scenario {
        PLAIN,
        FAILING,
        DRAIN,
        DRAIN_AT_START,
        CANCEL,
        TAKEOVER,
        STORE_CUT,
        /** The former owner is cut off from the store, and the agents go to the next one. */
        STORE_CUT_MOVED,
        /** The owner stops as planned and gives its partition up. */
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
