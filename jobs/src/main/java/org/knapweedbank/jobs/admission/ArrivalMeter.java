package org.knapweedbank.jobs.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures at what rate jobs are admitted that overtake a given one. Under a lasting overload the
 * least urgent jobs wait for jobs that arrive after them, which the present backlog does not show.
 *
 * @param <U> type of the urgency
 */
final class ArrivalMeter<U extends Urgency<U>> {
    /**
     * Time over which the rate is averaged, in milliseconds: the longest time after which a refused
     * job returns. A burst of a few seconds raises this average only by its share of it.
     */
    static final long WINDOW_MILLIS = AdmissionRule.MAX_RETRY_AFTER.toMillis();

    private final Deque<Arrival<U>> mArrivals = new ArrayDeque<>();

    void add(long now, U urgency, double coreMillis) {
        removeOld(now);
        mArrivals.addLast(new Arrival<>(now, urgency, coreMillis));
    }

    /** Returns the rate in cores at which work arrives that overtakes a job. */
    double rateBefore(long now, U urgency) {
        removeOld(now);
        return mArrivals.stream()
                        .filter(arrival -> arrival.urgency().overtakes(urgency))
                        .mapToDouble(Arrival::coreMillis)
                        .sum()
                / WINDOW_MILLIS;
    }

    private void removeOld(long now) {
        while (!mArrivals.isEmpty() && now - mArrivals.getFirst().at() > WINDOW_MILLIS) {
            mArrivals.removeFirst();
        }
    }

    /** Work of a job that was admitted at some time. */
    private record Arrival<U>(long at, U urgency, double coreMillis) {}
}
