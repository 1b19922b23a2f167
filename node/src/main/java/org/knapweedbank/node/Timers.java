package org.knapweedbank.node;

import java.time.Duration;

/** Schedules tasks on the single event loop thread of the process. */
public interface Timers {
    /**
     * Runs a task once after a delay.
     *
     * @param delay time to wait; with zero the task runs after the current event
     * @param task the task
     * @return action that cancels the task if it has not run
     */
    Runnable after(Duration delay, Runnable task);

    /**
     * Runs a task periodically.
     *
     * @param interval time between two runs, also before the first
     * @param task the task
     * @return action that ends the periodic runs
     */
    Runnable every(Duration interval, Runnable task);
}
