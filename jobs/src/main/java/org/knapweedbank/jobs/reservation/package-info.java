/**
 * Reservations of room on VMs for waiting tasks, and the backfill beside them. Pure decisions
 * without I/O; resources in thousandths of a core and MiB, times in monotonic milliseconds.
 */
package org.knapweedbank.jobs.reservation;
