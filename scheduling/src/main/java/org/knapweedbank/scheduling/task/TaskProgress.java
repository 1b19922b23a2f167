package org.knapweedbank.scheduling.task;

/**
 * Data that a task keeps across attempts.
 *
 * @param attempt number of the current attempt, from 1; 0 before admission
 * @param checkpoint reference of the checkpoint from which the current attempt starts, or empty
 * @param failures number of attempts that ended with an error
 */
public record TaskProgress(int attempt, String checkpoint, int failures) {
    /** Progress of a task that has not been admitted. */
    public static final TaskProgress NONE = new TaskProgress(0, "", 0);

    /**
     * Returns the progress for the next attempt, which starts from the same checkpoint.
     *
     * @return the progress
     */
    public TaskProgress nextAttempt() {
        return new TaskProgress(attempt + 1, checkpoint, failures);
    }

    /**
     * Returns the progress for the next attempt after the current one failed.
     *
     * @return the progress
     */
    public TaskProgress nextAfterFailure() {
        return new TaskProgress(attempt + 1, checkpoint, failures + 1);
    }

    /**
     * Returns the progress for the next attempt, which starts from a new checkpoint.
     *
     * @param reference reference of the new checkpoint; if empty, the current checkpoint is kept
     * @return the progress
     */
    public TaskProgress nextFrom(String reference) {
        return new TaskProgress(
                attempt + 1, reference.isEmpty() ? checkpoint : reference, failures);
    }
}
