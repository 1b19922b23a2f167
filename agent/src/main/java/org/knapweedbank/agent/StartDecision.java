package org.knapweedbank.agent;

/** What to do with an order to start an attempt. */
sealed interface StartDecision {
    /** The attempt is held and is to be started at the worker. */
    record Start(HeldAttempt held) implements StartDecision {}

    /** The attempt is held already; its state is to be reported again. */
    record Repeat(HeldAttempt held) implements StartDecision {}

    /** The attempt is refused; it is held as not started, so that a copy does not start either. */
    record Refuse(HeldAttempt held) implements StartDecision {}

    /** Nothing is done, because the attempt has ended before or cannot be remembered. */
    record Ignore(String reason) implements StartDecision {}
}
