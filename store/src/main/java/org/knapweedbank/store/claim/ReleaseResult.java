package org.knapweedbank.store.claim;

/** Result of releasing a claim. */
public sealed interface ReleaseResult {
    /** The claim was released; a new attempt may claim the key. */
    record Released() implements ReleaseResult {}

    /** The attempt does not hold the key, so there was nothing to release. */
    record NotHeld() implements ReleaseResult {}

    /**
     * The release failed and is not repeated; the key may stay claimed until its lease expires.
     *
     * @param reason what failed
     */
    record Failed(String reason) implements ReleaseResult {}
}
