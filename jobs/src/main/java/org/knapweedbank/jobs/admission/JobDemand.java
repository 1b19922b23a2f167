package org.knapweedbank.jobs.admission;

import java.time.Duration;
import org.knapweedbank.model.JobId;

/**
 * What a submitted job needs.
 *
 * @param id identifier of the job
 * @param pool pool that does most of its work
 * @param urgency its place in the order of urgency
 * @param coreMillis its work in the pool, in core-milliseconds
 * @param criticalPath time that it takes without waiting
 * @param objective time within which it has its full value, zero if it has no objective
 * @param limit time within which it has any value
 * @param <U> type of the urgency
 */
public record JobDemand<U>(
        JobId id,
        WorkPool pool,
        U urgency,
        double coreMillis,
        Duration criticalPath,
        Duration objective,
        Duration limit) {}
