package org.knapweedbank.scheduling.task;

/**
 * What a task keeps from one attempt to the next.
 *
 * @param attempt number of the current attempt, from 1; 0 before admission
 * @param checkpoint reference that the current attempt starts from, or empty
 * @param failures number of attempts that ended with an error
 */
public record TaskProgress(int attempt, String checkpoint, int failures) {
    /** Progress of a task before its first attempt. */
    public static final TaskProgress NONE = new TaskProgress(0, "", 0);

    /**
     * Progress with the next attempt, which starts from the same checkpoint.
     *
     * @return the progress
     */
    public TaskProgress nextAttempt() {
        return new TaskProgress(attempt + 1, checkpoint, failures);
    }

    /**
     * Progress with the next attempt after an error.
     *
     * @return the progress
     */
    public TaskProgress nextAfterFailure() {
        return new TaskProgress(attempt + 1, checkpoint, failures + 1);
    }

    /**
     * Progress with the next attempt, which starts from a new checkpoint.
     *
     * @param reference the checkpoint; if empty, the earlier one is kept
     * @return the progress
     */
    public TaskProgress nextFrom(String reference) {
        return new TaskProgress(
                attempt + 1, reference.isEmpty() ? checkpoint : reference, failures);
    }
}
