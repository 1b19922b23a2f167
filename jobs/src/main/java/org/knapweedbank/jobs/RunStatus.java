package org.knapweedbank.jobs;

/**
 * Status of a run that a worker lists as running, or whose start it has not confirmed yet.
 *
 * @param task name of the task
 * @param run number of the run
 * @param checkpoint newest checkpoint, empty if there is none
 * @param percent completed share of the work in percent; {@link #READY_PERCENT} for a long-running
 *     task that serves requests
 * @param measuredValue tail latency in milliseconds for a task that serves users, otherwise
 *     processor use in thousandths of a core; both measured over the last half second
 */
public record RunStatus(
        TaskName task, long run, String checkpoint, int percent, long measuredValue) {
    /** Progress of a long-running task that serves requests, in percent. */
    public static final int READY_PERCENT = 100;
}
