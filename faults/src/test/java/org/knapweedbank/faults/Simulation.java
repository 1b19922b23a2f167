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

/**
 * Discrete event simulation of one cell: virtual time, a seeded random source, an event queue, the
 * trace and the recorded violations.
 */
public final class Simulation {
    /** The simulation that the thread runs; receives exceptions that Mutiny drops. */
    private static final ThreadLocal<Simulation> CURRENT = new ThreadLocal<>();

    static {
        // Mutiny drops exceptions thrown by a subscriber. Without this handler, a cell in which
        // a subscriber fails would pass.
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

    /** Virtual time; starts at 1 s, which the trace shows as 0. */
    private long mNowNanos = 1_000_000_000L;

    /**
     * Sequence number that keeps events of the same time in the order in which they were scheduled.
     */
    private long mNextSequence;

    /** One line of the trace: an event of a component at a virtual time. */
    private record TraceLine(long atNanos, String component, Object event) {
        @Override
        public String toString() {
            return String.format(
                    "%10.3f  %-8s %s", (atNanos - 1_000_000_000L) / 1e9, component, event);
        }
    }

    /** An action that is due at a virtual time. */
    private record Event(long atNanos, long sequence, Runnable action) {}

    /**
     * A violated invariant, by its number in section 2 of the design page; 0 stands for an
     * unexpected exception.
     */
    public record Violation(int invariant, String detail) {}

    /** Creates a simulation and makes it the current one of the calling thread. */
    public Simulation(long seed) {
        mRandom = new Random(seed * 0x9E3779B97F4A7C15L);
        mRandom.nextLong();
        CURRENT.set(this);
    }

    /** Returns the virtual time in nanoseconds. */
    public long nowNanos() {
        return mNowNanos;
    }

    /** Returns the random source from which all choices of the cell are drawn. */
    public Random random() {
        return mRandom;
    }

    /** Schedules an action after a delay in virtual time. */
    public void schedule(Duration delay, Runnable action) {
        mEvents.add(new Event(mNowNanos + delay.toNanos(), mNextSequence++, action));
    }

    /** Advances virtual time by a duration and runs the events that become due. */
    public void runFor(Duration duration) {
        long endNanos = mNowNanos + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos;
            event.action.run();
        }
        mNowNanos = endNanos;
    }

    /**
     * Adds a line to the trace.
     *
     * @param component name of the component that the event belongs to
     * @param event the event; formatted only when the trace is read
     */
    public void trace(String component, Object event) {
        mTrace.add(new TraceLine(mNowNanos, component, event));
    }

    /** Records a violated invariant and adds it to the trace. */
    public void recordViolation(int invariant, String detail) {
        mViolations.add(new Violation(invariant, detail));
        trace("CHECK", "invariant " + invariant + " broken: " + detail);
    }

    /** Returns the formatted lines of the trace. */
    public List<String> traceLines() {
        return mTrace.stream().map(TraceLine::toString).toList();
    }

    /** Returns the recorded violations. */
    public List<Violation> violations() {
        return mViolations;
    }

    /**
     * Returns a clock that runs relative to virtual time.
     *
     * @param rate rate of the clock; above 1 it runs fast
     * @param offsetNanos difference to virtual time at the start, in nanoseconds
     */
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
