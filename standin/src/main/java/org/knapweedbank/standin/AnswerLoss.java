package org.knapweedbank.standin;

/** Point at which a simulated network fault interrupts a call, so that its response is lost. */
public enum AnswerLoss {
    /** The call takes effect, but its response is lost. */
    AFTER_EFFECT,
    /** The request is lost and has no effect, which the caller cannot tell. */
    BEFORE_EFFECT,
    /**
     * The request is delayed and the caller gets no response. The call takes effect later, when
     * {@link InMemoryStore#executeDelayedCalls()} is called. {@link InMemoryWorker} treats this
     * value like {@link #BEFORE_EFFECT}.
     */
    LATE_EFFECT
}
