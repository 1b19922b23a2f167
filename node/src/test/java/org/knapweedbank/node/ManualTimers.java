package org.knapweedbank.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.knapweedbank.time.ManualClock;

/** Timers that fire when a test advances the time. */
public final class ManualTimers implements Timers {
    private final ManualClock mClock;
    private final PriorityQueue<Entry> mEntries =
            new PriorityQueue<>(
                    Comparator.comparingLong((Entry e) -> e.mDueMillis)
                            .thenComparing(e -> e.mOrder));
    private long mOrder;

    /**
     * Creates the timers.
     *
     * @param clock clock that {@link #advance} advances
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
        boolean[] cancelled = new boolean[1];
        Runnable[] next = new Runnable[1];
        next[0] =
                () -> {
                    if (!cancelled[0]) {
                        task.run();
                        after(interval, next[0]);
                    }
                };
        after(interval, next[0]);
        return () -> cancelled[0] = true;
    }

    /**
     * Advances the clock and runs the due tasks in order.
     *
     * @param duration time to advance by
     */
    public void advance(Duration duration) {
        long endMillis = mClock.monotonicMillis() + duration.toMillis();
        while (!mEntries.isEmpty() && mEntries.peek().mDueMillis <= endMillis) {
            Entry entry = mEntries.poll();
            advanceTo(entry.mDueMillis);
            entry.mTask.run();
        }
        advanceTo(endMillis);
    }

    private void advanceTo(long millis) {
        long remainingMillis = millis - mClock.monotonicMillis();
        if (remainingMillis > 0) {
            mClock.advance(Duration.ofMillis(remainingMillis));
        }
    }

    private record Entry(long mDueMillis, long mOrder, Runnable mTask) {}
}
