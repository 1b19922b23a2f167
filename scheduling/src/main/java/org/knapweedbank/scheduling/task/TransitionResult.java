package org.knapweedbank.scheduling.task;

/** Result of applying an event to the state of a task. */
public sealed interface TransitionResult {
    /**
     * The event changes the state.
     *
     * @param state the next state
     */
    record Next(TaskLifecycle state) implements TransitionResult {}

    /**
     * The event is valid but does not change the state, because it is a duplicate or concerns a
     * replaced attempt.
     *
     * @param reason why the event has no effect
     */
    record NoEffect(String reason) implements TransitionResult {}

    /**
     * The event is impossible in the current state, which is unchanged.
     *
     * @param reason why the event is impossible
     */
    record Impossible(String reason) implements TransitionResult {}
}
