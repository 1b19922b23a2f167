package org.knapweedbank.jobs.admission;

/**
 * Place of a job in the order in which jobs are served, the most urgent first.
 *
 * @param <U> the implementing type
 */
public interface Urgency<U> extends Comparable<U> {
    /**
     * Returns whether a job of this urgency goes before another one even if it is submitted later.
     *
     * @param earlier urgency of the job that is submitted first
     * @return true if this job overtakes the other one
     */
    boolean overtakes(U earlier);
}
