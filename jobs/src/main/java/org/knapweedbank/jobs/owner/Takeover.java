package org.knapweedbank.jobs.owner;

import java.time.Duration;
import org.knapweedbank.time.Timestamp;

/**
 * Takeover of the ownership, which begins a term.
 *
 * @param term number of the term; each takeover raises it by one
 * @param claimedAt moment at which the claim was sent to the store; no later term had begun then
 * @param formerOwnerConfirmable how long after the claim the statements of entries that don't know
 *     of it may still confirm a former owner; zero if that needed a statement of this entry to go
 *     on while the store did not answer it
 */
public record Takeover(long term, Timestamp claimedAt, Duration formerOwnerConfirmable) {}
