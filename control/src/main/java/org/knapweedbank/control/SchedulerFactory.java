package org.knapweedbank.control;

import org.knapweedbank.scheduling.TaskScheduler;

/** Creates the task scheduler of a partition. */
@FunctionalInterface
public interface SchedulerFactory {
    /**
     * Creates a scheduler without VMs or tasks.
     *
     * @param partition the partition
     * @return the scheduler
     */
    TaskScheduler create(int partition);
}
