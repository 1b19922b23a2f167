package org.knapweedbank.jobs.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knapweedbank.model.JobId;

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

    /** Admitted jobs, the latest last. */
    private final Map<JobId, Arrival<U>> mArrivals = new LinkedHashMap<>();

    /** Adds a job. One that was not stored and is submitted again counts once. */
    void add(long now, JobDemand<U> demand) {
        removeOld(now);
        mArrivals.remove(demand.id());
        mArrivals.put(demand.id(), new Arrival<>(now, demand.urgency(), demand.coreMillis()));
    }

    /** Returns the rate in cores at which work arrives that overtakes a job. */
    double rateBefore(long now, U urgency) {
        removeOld(now);
        return mArrivals.values().stream()
                        .filter(arrival -> arrival.urgency().overtakes(urgency))
                        .mapToDouble(Arrival::coreMillis)
                        .sum()
                / WINDOW_MILLIS;
    }

    /** Returns whether no job has been admitted recently. */
    boolean isEmpty(long now) {
        removeOld(now);
        return mArrivals.isEmpty();
    }

    private void removeOld(long now) {
        Iterator<Arrival<U>> arrivals = mArrivals.values().iterator();
        while (arrivals.hasNext() && now - arrivals.next().at() > WINDOW_MILLIS) {
            arrivals.remove();
        }
    }

    /** Work of a job that was admitted at some time. */
    private record Arrival<U>(long at, U urgency, double coreMillis) {}
}
