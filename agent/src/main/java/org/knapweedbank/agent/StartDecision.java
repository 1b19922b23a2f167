package org.knapweedbank.agent;

/** Decision about a command to start an attempt. */
sealed interface StartDecision {
    /** The attempt is accepted and held, and must be started at the worker. */
    record Start(HeldAttempt held) implements StartDecision {}

    /** The attempt is already held; its state must be reported again. */
    record Repeat(HeldAttempt held) implements StartDecision {}

    /**
     * The attempt is refused. It is held as not started, so that a duplicate of the command does
     * not start it either.
     */
    record Refuse(HeldAttempt held) implements StartDecision {}

    /**
     * The command is ignored, because the attempt has ended, a newer attempt is known, or no more
     * attempts can be held.
     */
    record Ignore(String reason) implements StartDecision {}
}
