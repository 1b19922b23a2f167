package org.knapweedbank.time;

import java.time.Instant;

/** Clock that reads the time from the operating system. */
public final class SystemClock implements Clock {
    @Override
    public Instant wallTime() {
        return Instant.now();
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }
}
