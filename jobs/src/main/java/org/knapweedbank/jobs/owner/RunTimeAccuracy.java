package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.QueueKey;

/** How much longer than expected the tasks of each queue take, from those completed recently. */
final class RunTimeAccuracy {
    /** Share of the tasks that end by their latest end. */
    private static final double LATEST_END_QUANTILE = 0.9;

    /** Ratio of the latest to the expected run time of a queue without observations. */
    private static final double DEFAULT_RATIO = 2;

    private final Map<QueueKey, RatioHistogram> mRatios = new HashMap<>();

    /**
     * Adds the run time of a completed task.
     *
     * @param queue queue of the job
     * @param actualMillis run time at full speed, in milliseconds
     * @param expectedMillis run time that was expected for the task, in milliseconds
     */
    void observe(QueueKey queue, double actualMillis, double expectedMillis) {
        if (actualMillis > 0 && expectedMillis > 0) {
            mRatios.computeIfAbsent(queue, key -> new RatioHistogram(LATEST_END_QUANTILE))
                    .observe(actualMillis / expectedMillis);
        }
    }

    /** Returns the ratio of the latest to the expected run time of the tasks of a queue. */
    double latestRatio(QueueKey queue) {
        RatioHistogram ratios = mRatios.get(queue);
        return ratios == null ? DEFAULT_RATIO : ratios.quantileOr(DEFAULT_RATIO);
    }
}
