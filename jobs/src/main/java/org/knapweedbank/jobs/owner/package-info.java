/**
 * Decisions of the owner of the jobs: accepting, placing, following and ending tasks, and taking
 * over from an earlier owner. Nothing here does I/O; inputs are method calls, outputs go to {@link
 * org.knapweedbank.jobs.owner.OwnerOutput}.
 */
package org.knapweedbank.jobs.owner;
