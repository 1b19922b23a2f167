package org.knapweedbank.control;

import org.knapweedbank.scheduling.TaskScheduler;

/** Creates the task scheduler of a partition. */
@FunctionalInterface
public interface SchedulerFactory {
    /**
     * Creates a scheduler without VMs or tasks.
     *
     * @param partition number of the partition
     * @return a new scheduler
     */
    TaskScheduler create(int partition);
}
