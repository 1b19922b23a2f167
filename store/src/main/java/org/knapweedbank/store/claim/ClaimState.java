package org.knapweedbank.store.claim;

/** State of a claim in the store. */
public enum ClaimState {
    /** An attempt holds the key; its request may have run. */
    CLAIMED,
    /** The attempt is proven not to have run; a new attempt may claim the key. */
    RELEASED
}
