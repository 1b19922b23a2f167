package org.knapweedbank.soak;

/**
 * A broken promise.
 *
 * @param promise the promise
 * @param subject identifier of the job, or name of the process
 * @param detail what was seen
 */
record Violation(Promise promise, String subject, String detail) {
    /** Promises that the soak checks. */
    enum Promise {
        /** No task runs twice at a time, or again after an acknowledged end as done. */
        TWICE,
        /** Each accepted job is completed, or failed if a task has failed as often as it may. */
        LOST,
        /**
         * Once the faults have been over for 7 s, each accepted long-running task runs and has not
         * been without a run for 6 s since.
         */
        WAITS,
        /** No task of a job starts if each of its submissions was refused. */
        REFUSED,
        /** No process ends unless a fault ends it. */
        ENDED
    }

    @Override
    public String toString() {
        return promise + " " + subject + ": " + detail;
    }
}
