package org.knapweedbank.control;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;

/** Counters of the control duty. */
public final class ControlCounters {
    private final MetricRegistry mMetrics;
    private final Meter mStarts;
    private final Meter mEvictions;
    private final Meter mJobs;
    private final Meter mExpired;

    /**
     * Creates the counters.
     *
     * @param metrics registry that holds them
     */
    public ControlCounters(MetricRegistry metrics) {
        mMetrics = metrics;
        mStarts = metrics.meter("control.starts");
        mEvictions = metrics.meter("control.evictions");
        mJobs = metrics.meter("control.jobs");
        mExpired = metrics.meter("control.vms.expired");
    }

    void startSent() {
        mStarts.mark();
    }

    void evicted() {
        mEvictions.mark();
    }

    void jobSubmitted() {
        mJobs.mark();
    }

    void vmExpired() {
        mExpired.mark();
    }

    void attemptEnded(AttemptEnd end) {
        mMetrics.meter("control.ends." + end.name().toLowerCase(Locale.ROOT)).mark();
    }
}
