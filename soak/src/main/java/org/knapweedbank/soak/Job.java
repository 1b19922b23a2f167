package org.knapweedbank.soak;

/**
 * A job that callers have submitted.
 *
 * @param id identifier of the job
 * @param kind what its tasks do
 * @param taskCount number of its tasks
 * @param outcome what the callers know of its submission
 * @param atMillis time of the outcome, since the start of the deployment
 */
record Job(String id, Kind kind, int taskCount, Outcome outcome, long atMillis) {
    /** What the tasks of a job do. */
    enum Kind {
        /** They are done after some time. */
        SHORT,
        /** They run until the job is cancelled. */
        LONG_RUNNING,
        /** They fail wherever they run. */
        FAULTY
    }

    /** Outcome of a submission. */
    enum Outcome {
        ACCEPTED,
        /** Each attempt was refused. */
        REFUSED,
        /** No attempt was accepted, and not each of them was refused. */
        UNKNOWN
    }

    boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }

    /** Returns the name of a task; each job has one step. */
    String task(int number) {
        return id + ".0.0." + number;
    }
}
