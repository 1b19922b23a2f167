package org.knapweedbank.faults;

import io.smallrye.mutiny.infrastructure.Infrastructure;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.knapweedbank.time.Clock;

/** Virtual time, a seeded event queue, and the trace and violations of one cell. */
public final class Simulation {
    private static final ThreadLocal<Simulation> CURRENT = new ThreadLocal<>();

    static {
        // Mutiny drops what a subscriber throws; a cell must not pass over it.
        Infrastructure.setDroppedExceptionHandler(
                e -> {
                    if (CURRENT.get() == null) {
                        throw new IllegalStateException(e);
                    }
                    CURRENT.get().recordViolation(0, "exception " + e);
                });
    }

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final Random mRandom;
    private final List<TraceLine> mTrace = new ArrayList<>();
    private final List<Violation> mViolations = new ArrayList<>();
    private long mNowNanos = 1_000_000_000L;
    private long mNextSequence;

    private record TraceLine(long atNanos, String component, Object event) {
        @Override
        public String toString() {
            return String.format(
                    "%10.3f  %-8s %s", (atNanos - 1_000_000_000L) / 1e9, component, event);
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** A broken invariant of section 2 of the design page, by its number; 0 for an exception. */
    public record Violation(int invariant, String detail) {}

    public Simulation(long seed) {
        mRandom = new Random(seed * 0x9E3779B97F4A7C15L);
        mRandom.nextLong();
        CURRENT.set(this);
    }

    public long nowNanos() {
        return mNowNanos;
    }

    public Random random() {
        return mRandom;
    }

    public void schedule(Duration delay, Runnable action) {
        mEvents.add(new Event(mNowNanos + delay.toNanos(), mNextSequence++, action));
    }

    /** Runs the events that are due within the duration. */
    public void runFor(Duration duration) {
        long endNanos = mNowNanos + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos;
            event.action.run();
        }
        mNowNanos = endNanos;
    }

    public void trace(String component, Object event) {
        mTrace.add(new TraceLine(mNowNanos, component, event));
    }

    public void recordViolation(int invariant, String detail) {
        mViolations.add(new Violation(invariant, detail));
        trace("CHECK", "invariant " + invariant + " broken: " + detail);
    }

    public List<String> traceLines() {
        return mTrace.stream().map(TraceLine::toString).toList();
    }

    public List<Violation> violations() {
        return mViolations;
    }

    /** A clock that runs at a rate relative to virtual time, with an offset of its own. */
    public Clock clock(double rate, long offsetNanos) {
        long originNanos = mNowNanos;
        return new Clock() {
            @Override
            public Instant wallTime() {
                return Instant.EPOCH.plusNanos(monotonicNanos());
            }

            @Override
            public long monotonicNanos() {
                return offsetNanos + originNanos + (long) ((mNowNanos - originNanos) * rate);
            }
        };
    }
}
