package org.knapweedbank.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/** Clock that moves only when told to; for tests and benchmarks of the decision modules. */
public final class ManualClock implements Clock {
    private final Instant mOrigin;
    private final AtomicLong mNanos = new AtomicLong();

    /** Creates a clock that starts at the epoch of wall time. */
    public ManualClock() {
        this(Instant.EPOCH);
    }

    /**
     * Creates a clock.
     *
     * @param origin wall time of the first reading
     */
    public ManualClock(Instant origin) {
        mOrigin = origin;
    }

    /**
     * Moves the clock forward.
     *
     * @param duration how far, zero or more
     */
    public void advance(Duration duration) {
        if (duration.isNegative()) {
            throw new IllegalArgumentException("a clock cannot move back: " + duration);
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
