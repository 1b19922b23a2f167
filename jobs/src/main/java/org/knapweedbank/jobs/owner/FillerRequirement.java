package org.knapweedbank.jobs.owner;

/** What a filler requires of a VM, which depends on how long its job has waited. */
enum FillerRequirement {
    /** The filler waits for a VM on which it runs at almost full speed. */
    FULL_SPEED(0.9, 0.05),

    /**
     * The filler accepts half of its requested processor time, but must not slow down other tasks.
     */
    REDUCED_SPEED(0.5, 0.05),

    /**
     * No task of the job runs, so the filler accepts any VM with a little spare processor time,
     * even if it is heavily throttled there.
     */
    MINIMAL_SPEED(0.1, Double.POSITIVE_INFINITY);

    /** Minimum available processor time, as a share of the filler's request. */
    final double mMinSpareShare;

    /** Maximum utilization by which serving tasks may exceed what their objectives allow. */
    final double mMaxExcessUtilization;

    FillerRequirement(double minSpareShare, double maxExcessUtilization) {
        mMinSpareShare = minSpareShare;
        mMaxExcessUtilization = maxExcessUtilization;
    }
}
