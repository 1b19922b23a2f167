package org.knapweedbank.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/** Clock for tests and benchmarks whose time changes only when {@link #advance} is called. */
public final class ManualClock implements Clock {
    private final Instant mOrigin;
    private final AtomicLong mNanos = new AtomicLong();

    /** Creates a clock whose wall-clock time starts at {@link Instant#EPOCH}. */
    public ManualClock() {
        this(Instant.EPOCH);
    }

    /**
     * Creates a clock that starts at a given wall-clock time.
     *
     * @param origin wall-clock time before the first call of {@link #advance}
     */
    public ManualClock(Instant origin) {
        mOrigin = origin;
    }

    /**
     * Moves the clock forward.
     *
     * @param duration time to add, zero or more
     * @throws IllegalArgumentException if the duration is negative
     */
    public void advance(Duration duration) {
        if (duration.isNegative()) {
            throw new IllegalArgumentException(
                    "cannot move the clock by a negative duration: " + duration);
        }
        mNanos.addAndGet(duration.toNanos());
    }

    @Override
    public Instant wallTime() {
        return mOrigin.plusNanos(mNanos.get());
    }

    @Override
    public long monotonicNanos() {
        return mNanos.get();
    }
}
