package org.knapweedbank.soak;

/**
 * A broken promise.
 *
 * @param promise the promise
 * @param job identifier of the job
 * @param detail what was seen
 */
record Violation(Promise promise, String job, String detail) {
    /** Promises that the soak checks. */
    enum Promise {
        /** No task runs twice at a time, or again after an acknowledged end as done. */
        TWICE,
        /** Each accepted job is completed. */
        LOST,
        /** No task of a job starts if each of its submissions was refused. */
        REFUSED,
        /** A job is shown as completed only after all its tasks have ended as done. */
        MIXED
    }

    @Override
    public String toString() {
        return promise + " " + job + ": " + detail;
    }
}
