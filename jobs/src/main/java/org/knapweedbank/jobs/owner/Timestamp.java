package org.knapweedbank.jobs.owner;

import java.time.Instant;
import org.knapweedbank.time.Clock;

/**
 * Moment from which the age of a permission is counted, by the monotonic and by the wall clock. The
 * monotonic clock stands still while the VM is suspended, and the wall clock may be set back, so
 * the higher age counts.
 */
record Timestamp(long monotonicMillis, Instant wallTime) {
    /** Moment before all others. */
    static final Timestamp NEVER = new Timestamp(Long.MIN_VALUE / 2, Instant.EPOCH);

    static Timestamp now(Clock clock) {
        return new Timestamp(clock.monotonicMillis(), clock.wallTime());
    }

    /** Returns the time since this moment in milliseconds. */
    long ageMillis(Clock clock) {
        long wallAgeMillis = clock.wallTime().toEpochMilli() - wallTime.toEpochMilli();
        return Math.max(clock.monotonicMillis() - monotonicMillis, wallAgeMillis);
    }
}
