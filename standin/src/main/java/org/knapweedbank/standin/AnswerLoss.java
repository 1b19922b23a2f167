package org.knapweedbank.standin;

/** Point at which the answer to a call is lost. */
public enum AnswerLoss {
    /** The call took effect; its answer is lost. */
    AFTER_EFFECT,
    /** The call was lost on its way and had no effect; the caller cannot tell. */
    BEFORE_EFFECT
}
