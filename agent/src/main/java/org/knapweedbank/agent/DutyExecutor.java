package org.knapweedbank.agent;

/** Queues events for the duty thread. */
interface DutyExecutor {
    /** Queues an event; returns false if the ring is full. */
    boolean execute(Runnable event);
}
