package org.knapweedbank.bench.routing;

import java.time.Instant;
import java.util.PriorityQueue;
import org.knapweedbank.time.Clock;

/** Runs events in the order of their virtual time. */
final class VirtualTime implements Clock {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNow;
    private long mNextOrder;

    /** Event at a time; events of the same time run in the order in which they were added. */
    private record Event(long nanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(mNow, nanos), mNextOrder++, action));
    }

    void after(long nanos, Runnable action) {
        at(mNow + nanos, action);
    }

    void run() {
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNow = event.nanos();
            event.action().run();
        }
    }

    @Override
    public Instant wallTime() {
        return Instant.ofEpochSecond(0, mNow);
    }

    @Override
    public long monotonicNanos() {
        return mNow;
    }
}
