package org.knapweedbank.jobs.owner;

import org.HdrHistogram.ShortCountsHistogram;

/**
 * Distribution of ratios that forgets old observations: it holds the newest ones, between one and
 * two generations of them.
 */
final class RatioHistogram {
    /**
     * Observations of a generation. The ratios of the tasks of a step are alike, so it has to hold
     * those of many steps of up to 20 tasks.
     */
    private static final int GENERATION_SIZE = 512;

    /** Fewest observations for a quantile. */
    private static final int MIN_OBSERVATIONS = 10;

    /** Ratios are recorded in hundredths, from 0.01 to 100. */
    private static final int UNITS = 100;

    private static final long MAX_UNITS = 100 * UNITS;

    /** Two digits keep a histogram at about 2 KB. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private static final int PERCENT = 100;

    private ShortCountsHistogram mCurrent = new ShortCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);
    private ShortCountsHistogram mFormer = new ShortCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);

    /** Sum of both generations, which answers queries. */
    private final ShortCountsHistogram mAll =
            new ShortCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);

    /** Quantile that queries ask for, from 0 to 1. */
    private final double mQuantile;

    /** Value of the quantile; 0 if it has to be computed again. */
    private double mQuantileValue;

    RatioHistogram(double quantile) {
        mQuantile = quantile;
    }

    void observe(double ratio) {
        if (mCurrent.getTotalCount() >= GENERATION_SIZE) {
            ShortCountsHistogram oldest = mFormer;
            mFormer = mCurrent;
            mCurrent = oldest;
            mCurrent.reset();
            mAll.reset();
            mAll.add(mFormer);
        }
        long units = Math.clamp(Math.round(ratio * UNITS), 1, MAX_UNITS);
        mCurrent.recordValue(units);
        mAll.recordValue(units);
        mQuantileValue = 0;
    }

    /** Returns the quantile, or a default while there are few observations. */
    double quantileOr(double defaultRatio) {
        if (mAll.getTotalCount() < MIN_OBSERVATIONS) {
            return defaultRatio;
        }
        if (mQuantileValue == 0) {
            mQuantileValue = mAll.getValueAtPercentile(mQuantile * PERCENT) / (double) UNITS;
        }
        return mQuantileValue;
    }
}
