package org.knapweedbank.jobs.owner;

/** Why a VM gets no start orders at all, whichever task waits. */
enum VmClosure {
    /** The owner has no connection to the agent. */
    DISCONNECTED,

    /** The VM has no worker. */
    NO_WORKER,

    /** The stored VM list does not contain the present worker yet. */
    NOT_LISTED,

    /** The worker drains. */
    DRAINING,

    /** The VM runs a task that must not run there and whose resources are not known. */
    UNWANTED_RUN,

    /** The data centre of the VM is out of service. */
    EVACUATED,

    /** The owner has not answered the agent recently, so that its permit would be outdated. */
    UNANSWERED,

    /** The worker or its agent has just refused the orders of several tasks. */
    BACKOFF
}
