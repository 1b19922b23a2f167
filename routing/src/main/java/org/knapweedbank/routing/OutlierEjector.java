package org.knapweedbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.time.Clock;

/** Ejects failing upstreams of one service for a time. Used from one thread. */
public final class OutlierEjector {
    /** Share of its load that an upstream gets at the start of a slow start. */
    private static final double FIRST_WEIGHT = 0.1;

    private final EjectionSettings mSettings;
    private final Clock mClock;
    private final Map<UpstreamId, Health> mHealth = new HashMap<>();

    /**
     * Creates an ejector without upstreams.
     *
     * @param settings thresholds and times
     * @param clock clock
     */
    public OutlierEjector(EjectionSettings settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
    }

    /**
     * Adds an upstream; no effect if it is known.
     *
     * @param upstream the upstream
     */
    public void add(UpstreamId upstream) {
        mHealth.computeIfAbsent(upstream, id -> new Health());
    }

    /**
     * Removes an upstream.
     *
     * @param upstream the upstream
     */
    public void remove(UpstreamId upstream) {
        mHealth.remove(upstream);
    }

    /**
     * Records the result of an attempt.
     *
     * @param upstream the upstream
     * @param result the result; refusals and cancelled attempts are ignored
     */
    public void record(UpstreamId upstream, AttemptResult result) {
        Health health = mHealth.get(upstream);
        boolean counts = result.failure() || result == AttemptResult.ANSWERED;
        if (health == null || !counts || ejected(upstream)) {
            return;
        }
        health.add(result.failure(), mSettings.minimumSamples());
        if (result.failure() && failing(health) && mayEject()) {
            eject(health);
        }
    }

    /**
     * Tells whether an upstream is ejected now.
     *
     * @param upstream the upstream
     * @return true while it is ejected
     */
    public boolean ejected(UpstreamId upstream) {
        Health health = mHealth.get(upstream);
        return health != null && health.mEjections > 0 && remaining(health) > 0;
    }

    /**
     * Share of its normal load that an upstream may get.
     *
     * @param upstream the upstream
     * @return above 0 up to 1; below 1 only in a slow start
     */
    public double weight(UpstreamId upstream) {
        Health health = mHealth.get(upstream);
        if (health == null || health.mEjections == 0) {
            return 1;
        }
        long returned = Math.max(0, -remaining(health));
        double share = (double) returned / mSettings.slowStart().toNanos();
        return Math.min(1, FIRST_WEIGHT + (1 - FIRST_WEIGHT) * share);
    }

    /**
     * Number of upstreams that are ejected now.
     *
     * @return the count
     */
    public int ejectedCount() {
        return (int) mHealth.keySet().stream().filter(this::ejected).count();
    }

    private boolean failing(Health health) {
        if (health.mConsecutive >= mSettings.consecutiveFailures()) {
            return true;
        }
        return health.mAttempts >= mSettings.minimumSamples()
                && health.mFailures >= mSettings.failureShare() * health.mAttempts;
    }

    private boolean mayEject() {
        int allowed = (int) (mSettings.maximumShare() * mHealth.size());
        // With two upstreams the share rounds to none, but the other can carry the load.
        int limit = mHealth.size() == 2 && mSettings.maximumShare() > 0 ? 1 : allowed;
        return ejectedCount() < limit;
    }

    private void eject(Health health) {
        health.mEjections++;
        long time =
                Math.min(
                        mSettings.baseTime().toNanos() * health.mEjections,
                        mSettings.maximumTime().toNanos());
        health.mUntilNanos = mClock.monotonicNanos() + time;
        health.mConsecutive = 0;
        health.mAttempts = 0;
        health.mFailures = 0;
    }

    private long remaining(Health health) {
        return health.mUntilNanos - mClock.monotonicNanos();
    }

    /** Recent results of one upstream. */
    private static final class Health {
        /** Counters are halved at this multiple of the minimum, so that old results fade. */
        private static final int WINDOW = 5;

        private int mConsecutive;
        private double mAttempts;
        private double mFailures;
        private int mEjections;
        private long mUntilNanos;

        void add(boolean failure, int minimumSamples) {
            mConsecutive = failure ? mConsecutive + 1 : 0;
            mAttempts++;
            mFailures += failure ? 1 : 0;
            if (mAttempts >= WINDOW * minimumSamples) {
                mAttempts /= 2;
                mFailures /= 2;
            }
        }
    }
}
