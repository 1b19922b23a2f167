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
                    CURRENT.get().violate(0, "exception " + e);
                });
    }

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Random mRandom;
    private final List<Line> mTrace = new ArrayList<>();
    private final List<Violation> mViolations = new ArrayList<>();
    private long mNow = 1_000_000_000L;
    private long mOrder;

    private record Line(long atNanos, String part, Object event) {
        @Override
        public String toString() {
            return String.format("%10.3f  %-8s %s", (atNanos - 1_000_000_000L) / 1e9, part, event);
        }
    }

    private record Event(long atNanos, long order, Runnable action) {}

    /** A broken invariant of section 2 of the design page, by its number; 0 for an exception. */
    public record Violation(int invariant, String detail) {}

    public Simulation(long seed) {
        mRandom = new Random(seed * 0x9E3779B97F4A7C15L);
        mRandom.nextLong();
        CURRENT.set(this);
    }

    public long now() {
        return mNow;
    }

    public Random random() {
        return mRandom;
    }

    public void after(Duration delay, Runnable action) {
        mEvents.add(new Event(mNow + delay.toNanos(), mOrder++, action));
    }

    /** Runs the events that are due within the duration. */
    public void run(Duration duration) {
        long end = mNow + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos <= end) {
            Event event = mEvents.poll();
            mNow = event.atNanos;
            event.action.run();
        }
        mNow = end;
    }

    public void trace(String part, Object event) {
        mTrace.add(new Line(mNow, part, event));
    }

    public void violate(int invariant, String detail) {
        mViolations.add(new Violation(invariant, detail));
        trace("CHECK", "invariant " + invariant + " broken: " + detail);
    }

    public List<String> traceLines() {
        return mTrace.stream().map(Line::toString).toList();
    }

    public List<Violation> violations() {
        return mViolations;
    }

    /** A clock that runs at a rate relative to virtual time, with an offset of its own. */
    public Clock clock(double rate, long offsetNanos) {
        long origin = mNow;
        return new Clock() {
            @Override
            public Instant wallTime() {
                return Instant.EPOCH.plusNanos(monotonicNanos());
            }

            @Override
            public long monotonicNanos() {
                return offsetNanos + origin + (long) ((mNow - origin) * rate);
            }
        };
    }
}
