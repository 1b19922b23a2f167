package org.knapweedbank.jobs.owner;

import org.HdrHistogram.ShortCountsHistogram;

/**
 * Distribution of ratios that forgets old observations: it holds the newest ones, between one and
 * two generations of them.
 */
final class RatioHistogram {
    /** Observations of a generation; a step has up to 20 tasks, whose ratios are alike. */
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

    /** Quantile that was computed last; 0 if it has to be computed again. */
    private double mQuantile;

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
        mQuantile = 0;
    }

    /**
     * Returns a quantile.
     *
     * @param quantile always the same number from 0 to 1
     * @param defaultRatio result while there are few observations
     */
    double quantile(double quantile, double defaultRatio) {
        if (mAll.getTotalCount() < MIN_OBSERVATIONS) {
            return defaultRatio;
        }
        if (mQuantile == 0) {
            mQuantile = mAll.getValueAtPercentile(quantile * PERCENT) / (double) UNITS;
        }
        return mQuantile;
    }
}
