package org.knapweedbank.jobs;

/**
 * Execution properties of the tasks of a step.
 *
 * @param checkpointing the tasks save checkpoints of their progress
 * @param gang the tasks must run together and end together
 * @param speculative copies of a task may run in parallel; the first to complete counts
 * @param longRunning the tasks run until the job is cancelled and are restarted whenever they end
 * @param filler the tasks use only processor time that the other tasks of the VM leave
 */
public record StepTraits(
        boolean checkpointing,
        boolean gang,
        boolean speculative,
        boolean longRunning,
        boolean filler) {
    /** Traits of an ordinary batch step. */
    public static final StepTraits BATCH = new StepTraits(false, false, false, false, false);
}
