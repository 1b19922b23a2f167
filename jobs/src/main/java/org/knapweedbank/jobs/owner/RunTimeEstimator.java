package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.QueueKey;

/**
 * Learns what the run times that callers declare for the tasks of a queue are worth.
 *
 * <p>Declared run times are far off, and often say little more than that a job belongs to its
 * queue. The estimator fits a line through the logarithms of declared and actual run times, at full
 * pace, of the tasks that have ended. A queue whose declarations are right keeps them; one whose
 * declarations are noise gets its typical run time for all tasks.
 */
final class RunTimeEstimator {
    /** Observations that the declaration itself counts as, before anything is known. */
    private static final double PRIOR_WEIGHT = 2;

    /** Slope of the line before anything is known, and how much observations it counts as. */
    private static final double PRIOR_SLOPE = 0.5;

    private static final double PRIOR_SLOPE_WEIGHT = 5;

    /** Weight that is left of earlier observations after each new one. */
    private static final double MEMORY = 0.99;

    private final Map<QueueKey, Line> mLines = new HashMap<>();

    /**
     * Expected run time of a task at full pace.
     *
     * @param queue the queue of its job
     * @param declaredMillis the caller's estimate
     * @return the run time in milliseconds
     */
    double millis(QueueKey queue, long declaredMillis) {
        Line line = mLines.get(queue);
        if (line == null || declaredMillis <= 0) {
            return declaredMillis;
        }
        return Math.exp(line.at(Math.log(declaredMillis)));
    }

    /**
     * Takes the run time of a task that has ended.
     *
     * @param queue the queue of its job
     * @param declaredMillis the caller's estimate
     * @param actualMillis run time at full pace
     * @param weight share of the task in its step, as tasks of a step have the same estimate
     */
    void observe(QueueKey queue, long declaredMillis, double actualMillis, double weight) {
        if (declaredMillis > 0 && actualMillis > 0) {
            mLines.computeIfAbsent(queue, key -> new Line())
                    .observe(Math.log(declaredMillis), Math.log(actualMillis), weight);
        }
    }

    /** Weighted least squares with a prior, over logarithms of milliseconds. */
    private static final class Line {
        private double mWeight;
        private double mDeclared;
        private double mActual;
        private double mDeclaredSquares;
        private double mProducts;

        void observe(double declared, double actual, double weight) {
            double kept = Math.pow(MEMORY, weight);
            mWeight = mWeight * kept + weight;
            mDeclared = mDeclared * kept + weight * declared;
            mActual = mActual * kept + weight * actual;
            mDeclaredSquares = mDeclaredSquares * kept + weight * declared * declared;
            mProducts = mProducts * kept + weight * declared * actual;
        }

        double at(double declared) {
            double meanDeclared = mDeclared / mWeight;
            double meanActual = mActual / mWeight;
            double variance = mDeclaredSquares - mWeight * meanDeclared * meanDeclared;
            double covariance = mProducts - mWeight * meanDeclared * meanActual;
            double slope =
                    (covariance + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT)
                            / (variance + PRIOR_SLOPE_WEIGHT);
            double fitted = meanActual + slope * (declared - meanDeclared);
            return (mWeight * fitted + PRIOR_WEIGHT * declared) / (mWeight + PRIOR_WEIGHT);
        }
    }
}
