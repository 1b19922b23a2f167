package org.knapweedbank.time;

import java.time.Instant;

/**
 * Moment from which the age of a permission is counted, by the monotonic and by the wall clock. The
 * monotonic clock stands still while the VM is suspended, and the wall clock may be set back, so
 * the higher age counts.
 *
 * @param monotonicMillis monotonic time in milliseconds
 * @param wallTime wall time
 */
public record Timestamp(long monotonicMillis, Instant wallTime) {
    /** Moment before all others. */
    public static final Timestamp NEVER = new Timestamp(Long.MIN_VALUE / 2, Instant.EPOCH);

    /**
     * Returns the current moment.
     *
     * @param clock source of both times
     * @return the moment
     */
    public static Timestamp now(Clock clock) {
        return new Timestamp(clock.monotonicMillis(), clock.wallTime());
    }

    /**
     * Returns the time since this moment.
     *
     * @param clock source of both times
     * @return the higher of both ages in milliseconds
     */
    public long ageMillis(Clock clock) {
        long wallAgeMillis = clock.wallTime().toEpochMilli() - wallTime.toEpochMilli();
        return Math.max(clock.monotonicMillis() - monotonicMillis, wallAgeMillis);
    }
}
