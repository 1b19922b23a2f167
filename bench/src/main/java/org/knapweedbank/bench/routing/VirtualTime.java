package org.knapweedbank.bench.routing;

import java.time.Instant;
import java.util.PriorityQueue;
import org.knapweedbank.time.Clock;

/**
 * Event queue of a simulation, which is also its clock. Events run in the order of their virtual
 * time.
 */
final class VirtualTime implements Clock {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mNextSequence;

    /**
     * A scheduled action. Events of the same time run in the order in which they were added.
     *
     * @param nanos virtual time at which it runs
     * @param sequence number of the event in the order of addition
     * @param action the action
     */
    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int timeOrder = Long.compare(nanos, other.nanos);
            return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Schedules an action for a virtual time in nanoseconds, or for the present if that time has
     * passed.
     */
    void scheduleAt(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(mNowNanos, nanos), mNextSequence++, action));
    }

    /** Schedules an action after a delay in nanoseconds. */
    void scheduleAfter(long nanos, Runnable action) {
        scheduleAt(mNowNanos + nanos, action);
    }

    /** Runs events until none are left. */
    void run() {
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNowNanos = event.nanos();
            event.action().run();
        }
    }

    @Override
    public Instant wallTime() {
        return Instant.ofEpochSecond(0, mNowNanos);
    }

    @Override
    public long monotonicNanos() {
        return mNowNanos;
    }
}
