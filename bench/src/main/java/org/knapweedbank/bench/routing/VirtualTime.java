package org.knapweedbank.bench.routing;

import java.time.Instant;
import java.util.PriorityQueue;
import org.knapweedbank.time.Clock;

/** Runs events in the order of their virtual time. */
final class VirtualTime implements Clock {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mNextSequence;

    /** Event at a time; events of the same time run in the order in which they were added. */
    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int timeOrder = Long.compare(nanos, other.nanos);
            return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
        }
    }

    void scheduleAt(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(mNowNanos, nanos), mNextSequence++, action));
    }

    void scheduleAfter(long nanos, Runnable action) {
        scheduleAt(mNowNanos + nanos, action);
    }

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
