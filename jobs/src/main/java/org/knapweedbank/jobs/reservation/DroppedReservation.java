package org.knapweedbank.jobs.reservation;

/**
 * A reservation that ended without the start of its task.
 *
 * @param reservation the reservation as it was last planned
 * @param reason why it ended
 */
public record DroppedReservation(Reservation reservation, DropReason reason) {}
