package org.knapweedbank.jobs.reservation;

import java.util.function.LongSupplier;
import org.knapweedbank.model.Resources;

/**
 * What less urgent tasks may use of a VM with a reservation (backfill).
 *
 * @param reservation the reservation
 * @param beside resources that are left beside the reserved ones when the reserved task starts
 * @param backfillEnd time until which all other resources may be used, in monotonic milliseconds
 */
public record Hold(Reservation reservation, Resources beside, long backfillEnd) {
    /**
     * Returns whether a less urgent task may start on the VM now.
     *
     * @param room resources that the task reserves; only those count, so a task that reserves no
     *     processor time is not held back by it
     * @param latestEnd computes the time by which the task will very likely have ended, in
     *     monotonic milliseconds; {@code Long.MAX_VALUE} if it runs until it is stopped
     * @return true if it fits beside the reserved resources or ends early enough
     */
    public boolean admits(Resources room, LongSupplier latestEnd) {
        return fitsBeside(room) || latestEnd.getAsLong() <= backfillEnd;
    }

    private boolean fitsBeside(Resources room) {
        return fits(room.milliCpu(), beside.milliCpu())
                && fits(room.memoryMb(), beside.memoryMb())
                && fits(room.accelerators(), beside.accelerators());
    }

    /**
     * Returns the hold after a task has started on the VM without using the reservation.
     *
     * @param room resources that the task reserves
     * @param latestEnd time by which the task will very likely have ended, as for {@link #admits}
     * @return the hold, with less room beside the reservation unless the task ends early enough
     */
    public Hold afterStart(Resources room, long latestEnd) {
        return latestEnd <= backfillEnd
                ? this
                : new Hold(reservation, beside.minus(room), backfillEnd);
    }

    private static boolean fits(long needed, long available) {
        return needed == 0 || needed <= available;
    }
}
