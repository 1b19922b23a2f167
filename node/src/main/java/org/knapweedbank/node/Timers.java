package org.knapweedbank.node;

import java.time.Duration;

/** Runs tasks later on the one thread of the process. */
public interface Timers {
    /**
     * Runs a task once.
     *
     * @param delay how long to wait; zero runs it after the present event
     * @param task the task
     * @return cancels the task if it has not run
     */
    Runnable after(Duration delay, Runnable task);

    /**
     * Runs a task again and again.
     *
     * @param interval time between two runs
     * @param task the task
     * @return ends the runs
     */
    Runnable every(Duration interval, Runnable task);
}
