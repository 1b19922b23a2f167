package org.knapweedbank.node.agent;

/** What an agent has reported about its worker on the link to the owner, from least to most. */
enum Reported {
    /** Nothing. */
    NOTHING,

    /** The running tasks, and as many ends as the worker lists at once. */
    SOME_ENDS,

    /**
     * All runs and their ends; each run that is in neither list has never started or is settled.
     */
    ALL_RUNS
}
