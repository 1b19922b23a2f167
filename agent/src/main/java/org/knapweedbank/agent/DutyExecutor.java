package org.knapweedbank.agent;

/** Queues events for execution on the agent's control thread. */
interface DutyExecutor {
    /** Queues an event; returns false if the queue is full. */
    boolean execute(Runnable event);
}
