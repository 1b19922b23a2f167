package org.knapweedbank.soak;

/**
 * A job that callers have submitted.
 *
 * @param id identifier of the job
 * @param outcome what the callers know of its submission
 */
record Job(String id, Outcome outcome) {
    /** Outcome of a submission. */
    enum Outcome {
        ACCEPTED,
        /** Each attempt was refused. */
        REFUSED,
        /** No attempt was accepted, and not each of them was refused. */
        UNKNOWN
    }
}
