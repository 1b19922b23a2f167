package org.knapweedbank.jobs.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Recent samples of a pool. A job is judged by all samples of the persistence time, so that a load
 * which was lower at any of them does not cause a refusal, whatever other jobs arrived meanwhile.
 *
 * @param <U> type of the urgency
 */
final class PoolHistory<U extends Urgency<U>> {
    private final long mPersistenceMillis;
    private final RateMeter mRateMeter = new RateMeter();
    private final Deque<Entry<U>> mEntries = new ArrayDeque<>();
    private final ArrivalMeter<U> mArrivals = new ArrivalMeter<>();

    /** Jobs admitted since the newest sample. */
    private final List<QueuedWork<U>> mAdmitted = new ArrayList<>();

    PoolHistory(long persistenceMillis) {
        mPersistenceMillis = persistenceMillis;
    }

    void add(long now, PoolSample<U> sample) {
        Entry<U> previous = mEntries.peekLast();
        if (previous != null && previous.waiting() && sample.waiting()) {
            mRateMeter.add(now, now - previous.at(), sample.doneCoreMillis());
        }
        mEntries.addLast(
                new Entry<>(
                        now,
                        sample.waiting(),
                        mRateMeter.rate(now),
                        new Backlog<>(sample.waiting() ? sample.unfinished() : List.of())));
        removeOld(now);
        mAdmitted.clear();
    }

    void addAdmitted(long now, JobDemand<U> demand) {
        mArrivals.add(now, demand);
        mAdmitted.add(new QueuedWork<>(demand.urgency(), demand.coreMillis()));
    }

    /** Forgets the samples before a pause; the measured rate is kept. */
    void interrupt() {
        mEntries.clear();
        mAdmitted.clear();
    }

    /**
     * Returns the load at each sample since the start of the persistence time, the newest last.
     *
     * @return the loads; empty if the samples do not cover the persistence time
     */
    List<PoolLoad> loads(long now, U urgency) {
        if (mEntries.isEmpty() || now - mEntries.getFirst().at() < mPersistenceMillis) {
            return List.of();
        }
        List<PoolLoad> loads = new ArrayList<>(mEntries.size());
        mEntries.forEach(
                entry ->
                        loads.add(
                                new PoolLoad(
                                        entry.waiting(),
                                        entry.rate(),
                                        entry.backlog().workBefore(urgency))));
        loads.add(loads.removeLast().plus(admittedBefore(urgency)));
        return loads;
    }

    private double admittedBefore(U urgency) {
        return mAdmitted.stream()
                .filter(work -> work.urgency().compareTo(urgency) <= 0)
                .mapToDouble(QueuedWork::coreMillis)
                .sum();
    }

    /** Returns the work that is expected to overtake a job in some time, in core-milliseconds. */
    double expectedBefore(long now, U urgency, long millis) {
        return mArrivals.rateBefore(now, urgency) * millis;
    }

    /** Returns whether no job was admitted and no work waited for so long that nothing is known. */
    boolean isIdle(long now) {
        return mRateMeter.isEmpty(now)
                && mArrivals.isEmpty(now)
                && mEntries.stream().noneMatch(Entry::waiting);
    }

    /** Keeps the samples of the persistence time and the one before them. */
    private void removeOld(long now) {
        while (mEntries.size() > 1 && now - second().at() >= mPersistenceMillis) {
            mEntries.removeFirst();
        }
    }

    private Entry<U> second() {
        return mEntries.stream().skip(1).findFirst().orElseThrow();
    }

    /** A sample with the rate that was known at its time. */
    private record Entry<U extends Urgency<U>>(
            long at, boolean waiting, OptionalDouble rate, Backlog<U> backlog) {}
}
