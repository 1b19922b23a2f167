package org.knapweedbank.jobs.owner;

import org.knapweedbank.time.Timestamp;

/**
 * Takeover of the ownership, which begins a term.
 *
 * @param term number of the term; each takeover raises it by one
 * @param claimedAt moment at which the claim was sent to the store; no later term had begun then
 * @param knownToFormerOwner true if the former owner needed a statement of this entry to go on
 *     while the store did not answer it; otherwise it may have gone on without one
 */
public record Takeover(long term, Timestamp claimedAt, boolean knownToFormerOwner) {}
