package org.knapweedbank.store.claim;

/** Result of the release of a claim. */
public sealed interface ReleaseResult {
    /** The key may be claimed by a new attempt. */
    record Released() implements ReleaseResult {}

    /** Another attempt holds the key, so there was nothing to release. */
    record NotHeld() implements ReleaseResult {}

    /**
     * The release was given up; the key may stay claimed until it expires.
     *
     * @param reason what failed
     */
    record Failed(String reason) implements ReleaseResult {}
}
