/**
 * Decision logic of the job owner: it accepts, places, tracks and ends tasks, and takes over from
 * an earlier owner. This package does no I/O. Its inputs are method calls, and its outputs go to
 * {@link org.knapweedbank.jobs.owner.OwnerOutput}.
 */
package org.knapweedbank.jobs.owner;
