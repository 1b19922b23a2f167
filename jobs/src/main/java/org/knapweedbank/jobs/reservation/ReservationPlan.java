package org.knapweedbank.jobs.reservation;

import java.util.List;
import java.util.Map;

/**
 * Reservations for waiting tasks.
 *
 * @param tasks what the plan says about each waiting task, in the order of urgency
 * @param holds the reservations and what is left beside them, in the order of urgency
 * @param dropped reservations of the last plan that have ended
 * @param pausedUntil monotonic time in milliseconds before which a step gets no new reservation
 */
public record ReservationPlan(
        List<TaskPlan> tasks,
        List<Hold> holds,
        List<DroppedReservation> dropped,
        Map<StepKey, Long> pausedUntil) {}
