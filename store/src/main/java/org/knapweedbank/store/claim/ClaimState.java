package org.knapweedbank.store.claim;

/** State of a claim in the store. */
public enum ClaimState {
    /** An attempt holds the key, and its request may have run. */
    CLAIMED,
    /** The attempt has certainly not run and will not run; a new attempt may claim the key. */
    RELEASED
}
