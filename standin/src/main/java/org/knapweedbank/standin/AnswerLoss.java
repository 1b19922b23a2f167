package org.knapweedbank.standin;

/** Point at which the answer to a call is lost. */
public enum AnswerLoss {
    /** The call took effect; its answer is lost. */
    AFTER_EFFECT,
    /** The call was lost on its way and had no effect; the caller cannot tell. */
    BEFORE_EFFECT,
    /**
     * The call is held up on its way. The caller gets no answer; the call takes effect when {@link
     * InMemoryStore#deliverLate()} is called. A worker treats it like {@link #BEFORE_EFFECT}.
     */
    LATE_EFFECT
}
