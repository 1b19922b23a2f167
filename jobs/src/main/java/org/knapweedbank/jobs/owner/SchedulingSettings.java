package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.admission.AdmissionSettings;
import org.knapweedbank.jobs.reservation.ReservationSettings;

/**
 * Settings of the optional parts of scheduling.
 *
 * @param reservations reservations of room for waiting tasks
 * @param admission admission of new jobs under overload
 */
public record SchedulingSettings(ReservationSettings reservations, AdmissionSettings admission) {
    /** All optional parts are switched off. */
    public static final SchedulingSettings DISABLED =
            new SchedulingSettings(ReservationSettings.DISABLED, AdmissionSettings.DISABLED);
}
