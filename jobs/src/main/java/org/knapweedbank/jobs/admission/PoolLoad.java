package org.knapweedbank.jobs.admission;

import java.util.OptionalDouble;

/**
 * Load of a pool as a job finds it.
 *
 * @param waiting whether work of the pool waits for processor time
 * @param rate rate in cores at which waiting work is completed; empty if it is unknown
 * @param workBefore work that goes before the job, in core-milliseconds
 */
public record PoolLoad(boolean waiting, OptionalDouble rate, double workBefore) {
    /**
     * Returns this load with additional work before the job.
     *
     * @param coreMillis the additional work in core-milliseconds
     * @return the load
     */
    public PoolLoad plus(double coreMillis) {
        return new PoolLoad(waiting, rate, workBefore + coreMillis);
    }

    /**
     * Returns the time until all work before the job and some work of its own are done.
     *
     * @param ownCoreMillis work of the job itself, in core-milliseconds
     * @return the time in milliseconds, 0 if the rate is unknown
     */
    public double millisUntilDone(double ownCoreMillis) {
        return rate.isPresent() ? (workBefore + ownCoreMillis) / rate.getAsDouble() : 0;
    }
}
