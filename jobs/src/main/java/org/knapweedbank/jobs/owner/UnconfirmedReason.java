package org.knapweedbank.jobs.owner;

/** Why no worker has confirmed a run that the owner counts as running. */
enum UnconfirmedReason {
    /** The owner has no connection to the agent. */
    DISCONNECTED,

    /** The ownership is not confirmed, so that the owner answers no agent. */
    OWNER,

    /**
     * The worker is silent, its lists are incomplete, or the agent does not pass them on. The age
     * of lists is not known either while the owner does not answer the agent.
     */
    OLD_LISTS,

    /** The start order has no answer. */
    START_UNANSWERED,

    /** The newest lists of the worker do not hold the run. */
    UNLISTED,

    /** The worker lists the run, but it was told to stop and has not ended. */
    STOP_UNANSWERED
}
