package org.knapweedbank.scheduling.task;

/** Result of applying an event to the state of a task. */
public sealed interface TransitionResult {
    /**
     * The task has a new state.
     *
     * @param state the state
     */
    record Next(TaskLifecycle state) implements TransitionResult {}

    /**
     * The event is valid and changes nothing: a repeat, or a report of a replaced attempt.
     *
     * @param reason why it changes nothing
     */
    record NoEffect(String reason) implements TransitionResult {}

    /**
     * The event cannot happen in this state; the state is unchanged.
     *
     * @param reason why it cannot happen
     */
    record Impossible(String reason) implements TransitionResult {}
}
