package org.knapweedbank.jobs.owner;

/** What a filler demands of a VM, by how long its job has waited. */
enum FillerPatience {
    /** The filler can wait for a VM that gives it its full pace. */
    FULL_PACE(0.9, 0.05),

    /** It would rather be slow than not run, but does not take from the pace of others. */
    SLOW(0.5, 0.05),

    /** Nothing of its job runs: a crawl is better than standing still. */
    CRAWL(0.1, Double.POSITIVE_INFINITY);

    /** Part of the filler's demand that has to be spare. */
    final double mDemandPart;

    /** Utilization by which serving tasks may exceed what their objective allows. */
    final double mDisturbance;

    FillerPatience(double demandPart, double disturbance) {
        mDemandPart = demandPart;
        mDisturbance = disturbance;
    }
}
