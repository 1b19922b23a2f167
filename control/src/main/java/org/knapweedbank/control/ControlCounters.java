package org.knapweedbank.control;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;

/** Meters of partition control: starts, evictions, submitted jobs, attempt ends and expired VMs. */
public final class ControlCounters {
    private final MetricRegistry mMetrics;
    private final Meter mStarts;
    private final Meter mEvictions;
    private final Meter mJobs;
    private final Meter mExpired;

    /**
     * Registers the meters.
     *
     * @param metrics registry that holds the meters
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
