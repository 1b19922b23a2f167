package org.knapweedbank.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.knapweedbank.time.ManualClock;

/** Timers that run when a test passes time. */
public final class ManualTimers implements Timers {
    private final ManualClock mClock;
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong((Entry e) -> e.mDue).thenComparing(e -> e.mOrder));
    private long mOrder;

    /**
     * Creates the timers.
     *
     * @param clock clock that {@link #pass} advances
     */
    public ManualTimers(ManualClock clock) {
        mClock = clock;
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        Entry entry = new Entry(mClock.monotonicMillis() + delay.toMillis(), ++mOrder, task);
        mEntries.add(entry);
        return () -> mEntries.remove(entry);
    }

    @Override
    public Runnable every(Duration interval, Runnable task) {
        boolean[] ended = new boolean[1];
        Runnable[] next = new Runnable[1];
        next[0] =
                () -> {
                    if (!ended[0]) {
                        task.run();
                        after(interval, next[0]);
                    }
                };
        after(interval, next[0]);
        return () -> ended[0] = true;
    }

    /**
     * Advances the clock and runs what becomes due, in order.
     *
     * @param time how far
     */
    public void pass(Duration time) {
        long end = mClock.monotonicMillis() + time.toMillis();
        while (!mEntries.isEmpty() && mEntries.peek().mDue <= end) {
            Entry entry = mEntries.poll();
            advanceTo(entry.mDue);
            entry.mTask.run();
        }
        advanceTo(end);
    }

    private void advanceTo(long millis) {
        long left = millis - mClock.monotonicMillis();
        if (left > 0) {
            mClock.advance(Duration.ofMillis(left));
        }
    }

    private record Entry(long mDue, long mOrder, Runnable mTask) {}
}
