package org.knapweedbank.jobs;

/**
 * How the tasks of a step behave.
 *
 * @param checkpointing the tasks save their progress
 * @param gang the tasks work only together and end together
 * @param speculative copies of a task may run side by side; the first to end counts
 * @param longRunning the tasks run until the job is cancelled and are restarted whenever they end
 * @param filler the tasks use processor time that the other tasks of the VM leave
 */
public record StepTraits(
        boolean checkpointing,
        boolean gang,
        boolean speculative,
        boolean longRunning,
        boolean filler) {
    /** A plain batch step. */
    public static final StepTraits BATCH = new StepTraits(false, false, false, false, false);
}
