package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.QueueKey;

/**
 * Estimates the run times of tasks from the run times that callers declare and from those of
 * completed tasks in the same queue.
 *
 * <p>Declared run times are often far off and may say little more than that a job belongs to its
 * queue. The estimator fits a line through the logarithms of the declared and actual run times, at
 * full speed, of the completed tasks of a queue. If the declared run times of a queue are accurate,
 * the estimates follow them. If they are noise, all tasks get the typical run time of the queue.
 */
final class RunTimeEstimator {
    /** Weight of the declared run time itself, as a number of observations. */
    private static final double PRIOR_WEIGHT = 2;

    /** Slope of the line without observations. */
    private static final double PRIOR_SLOPE = 0.5;

    /** Weight of the prior slope, as a sum of squared deviations of the declared logarithms. */
    private static final double PRIOR_SLOPE_WEIGHT = 5;

    /** Factor by which the weight of earlier observations shrinks with each new one. */
    private static final double DECAY = 0.99;

    private final Map<QueueKey, Regression> mRegressions = new HashMap<>();

    /**
     * Returns the expected run time of a task at full speed.
     *
     * @param queue queue of the job
     * @param declaredMillis run time that the caller declared, in milliseconds
     * @return the run time in milliseconds
     */
    double expectedMillis(QueueKey queue, long declaredMillis) {
        Regression regression = mRegressions.get(queue);
        if (regression == null || declaredMillis <= 0) {
            return declaredMillis;
        }
        return Math.exp(regression.predict(Math.log(declaredMillis)));
    }

    /**
     * Adds the run time of a completed task.
     *
     * @param queue queue of the job
     * @param declaredMillis run time that the caller declared, in milliseconds
     * @param actualMillis run time at full speed, in milliseconds
     * @param weight share of the task in its step, since all tasks of a step have the same declared
     *     run time
     */
    void observe(QueueKey queue, long declaredMillis, double actualMillis, double weight) {
        if (declaredMillis > 0 && actualMillis > 0) {
            mRegressions
                    .computeIfAbsent(queue, key -> new Regression())
                    .observe(Math.log(declaredMillis), Math.log(actualMillis), weight);
        }
    }

    /** Weighted linear regression with a prior, over the logarithms of milliseconds. */
    private static final class Regression {
        private double mWeight;
        private double mDeclaredSum;
        private double mActualSum;
        private double mDeclaredSquareSum;
        private double mProductSum;

        void observe(double declared, double actual, double weight) {
            double decay = Math.pow(DECAY, weight);
            mWeight = mWeight * decay + weight;
            mDeclaredSum = mDeclaredSum * decay + weight * declared;
            mActualSum = mActualSum * decay + weight * actual;
            mDeclaredSquareSum = mDeclaredSquareSum * decay + weight * declared * declared;
            mProductSum = mProductSum * decay + weight * declared * actual;
        }

        double predict(double declared) {
            double meanDeclared = mDeclaredSum / mWeight;
            double meanActual = mActualSum / mWeight;
            double squaredDeviations = mDeclaredSquareSum - mWeight * meanDeclared * meanDeclared;
            double deviationProducts = mProductSum - mWeight * meanDeclared * meanActual;
            double slope =
                    (deviationProducts + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT)
                            / (squaredDeviations + PRIOR_SLOPE_WEIGHT);
            double predicted = meanActual + slope * (declared - meanDeclared);
            return (mWeight * predicted + PRIOR_WEIGHT * declared) / (mWeight + PRIOR_WEIGHT);
        }
    }
}
