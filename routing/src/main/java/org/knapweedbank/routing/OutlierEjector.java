package org.knapweedbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.time.Clock;

/** Temporarily ejects failing upstreams of one service. Not thread-safe. */
public final class OutlierEjector {
    /** Share of the normal load that an upstream gets at the beginning of a slow start. */
    private static final double INITIAL_WEIGHT = 0.1;

    private final EjectionSettings mSettings;
    private final Clock mClock;
    private final Map<UpstreamId, Health> mHealth = new HashMap<>();

    /**
     * Creates an ejector without upstreams.
     *
     * @param settings thresholds and durations
     * @param clock source of time
     */
    public OutlierEjector(EjectionSettings settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
    }

    /**
     * Adds an upstream. Has no effect if it is known.
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
     * @param result result of the attempt; refused and cancelled attempts are ignored
     */
    public void record(UpstreamId upstream, AttemptResult result) {
        Health health = mHealth.get(upstream);
        boolean affectsHealth = result.isFailure() || result == AttemptResult.ANSWERED;
        if (health == null || !affectsHealth || ejected(upstream)) {
            return;
        }
        health.add(result.isFailure(), mSettings.minimumSamples());
        if (result.isFailure() && exceedsThreshold(health) && mayEject()) {
            eject(health);
        }
    }

    /**
     * Returns whether an upstream is currently ejected.
     *
     * @param upstream the upstream
     * @return true if it is ejected
     */
    public boolean ejected(UpstreamId upstream) {
        Health health = mHealth.get(upstream);
        return health != null && health.mEjections > 0 && remainingNanos(health) > 0;
    }

    /**
     * Returns the share of the normal load that an upstream may get.
     *
     * @param upstream the upstream
     * @return share above 0 and up to 1; below 1 only during a slow start
     */
    public double weight(UpstreamId upstream) {
        Health health = mHealth.get(upstream);
        if (health == null || health.mEjections == 0) {
            return 1;
        }
        long sinceReturnNanos = Math.max(0, -remainingNanos(health));
        double share = (double) sinceReturnNanos / mSettings.slowStart().toNanos();
        return Math.min(1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * share);
    }

    /**
     * Returns the number of upstreams that are currently ejected.
     *
     * @return the number
     */
    public int ejectedCount() {
        return (int) mHealth.keySet().stream().filter(this::ejected).count();
    }

    private boolean exceedsThreshold(Health health) {
        if (health.mConsecutiveFailures >= mSettings.consecutiveFailures()) {
            return true;
        }
        return health.mAttempts >= mSettings.minimumSamples()
                && health.mFailures >= mSettings.failureShare() * health.mAttempts;
    }

    private boolean mayEject() {
        int allowed = (int) (mSettings.maximumShare() * mHealth.size());
        // The allowed share of two upstreams rounds down to none, but one of them may be ejected
        // because the other can take over its load.
        int limit = mHealth.size() == 2 && mSettings.maximumShare() > 0 ? 1 : allowed;
        return ejectedCount() < limit;
    }

    private void eject(Health health) {
        health.mEjections++;
        long ejectionNanos =
                Math.min(
                        mSettings.baseTime().toNanos() * health.mEjections,
                        mSettings.maximumTime().toNanos());
        health.mEjectedUntilNanos = mClock.monotonicNanos() + ejectionNanos;
        health.mConsecutiveFailures = 0;
        health.mAttempts = 0;
        health.mFailures = 0;
    }

    private long remainingNanos(Health health) {
        return health.mEjectedUntilNanos - mClock.monotonicNanos();
    }

    /** Recent attempt results and the ejection state of one upstream. */
    private static final class Health {
        /**
         * The counters are halved when they reach this multiple of the minimum number of samples,
         * so that older results have less weight.
         */
        private static final int HALVING_FACTOR = 5;

        private int mConsecutiveFailures;
        private double mAttempts;
        private double mFailures;
        private int mEjections;
        private long mEjectedUntilNanos;

        void add(boolean failure, int minimumSamples) {
            mConsecutiveFailures = failure ? mConsecutiveFailures + 1 : 0;
            mAttempts++;
            mFailures += failure ? 1 : 0;
            if (mAttempts >= HALVING_FACTOR * minimumSamples) {
                mAttempts /= 2;
                mFailures /= 2;
            }
        }
    }
}
