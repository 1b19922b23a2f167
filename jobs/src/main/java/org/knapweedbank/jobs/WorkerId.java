package org.knapweedbank.jobs;

/**
 * Identity of one incarnation of a worker.
 *
 * @param id identifier of the worker, which a later incarnation may reuse
 * @param incarnation start time of the incarnation in Unix milliseconds
 */
public record WorkerId(String id, long incarnation) {
    @Override
    public String toString() {
        return id + "@" + incarnation;
    }
}
