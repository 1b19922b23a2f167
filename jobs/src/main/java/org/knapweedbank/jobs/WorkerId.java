package org.knapweedbank.jobs;

/**
 * One incarnation of a worker.
 *
 * @param id identifier, which a later incarnation may reuse
 * @param incarnation start time of the incarnation in Unix milliseconds
 */
public record WorkerId(String id, long incarnation) {
    @Override
    public String toString() {
        return id + "@" + incarnation;
    }
}
