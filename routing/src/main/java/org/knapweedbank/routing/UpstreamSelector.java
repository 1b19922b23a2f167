package org.knapweedbank.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.Clock;

/**
 * Selects upstreams of one service. Compares two random upstreams by their expected delay. Prefers
 * the local data centre and uses another one only if the additional queueing delay of the local
 * upstream exceeds the additional network delay. Not thread-safe.
 */
public final class UpstreamSelector implements UpstreamPool {
    /**
     * Weight of the load in the expected service time. Distributes requests over idle upstreams
     * whose measured service times differ only randomly.
     */
    private static final double LOAD_PER_SLOT_WEIGHT = 0.1;

    /**
     * Time for which the smallest expected delay is cached, because computing it visits all
     * upstreams.
     */
    private static final long EXPECTED_DELAY_LIFETIME_NANOS = 10_000_000;

    /**
     * Number of random picks that may hit an ineligible upstream before the eligible ones are
     * listed.
     */
    private static final int MAX_RANDOM_PICKS = 4;

    private final DataCentreId mLocalDataCentre;
    private final SelectorSettings mSettings;
    private final NetworkDelays mNetworkDelays;
    private final OutlierEjector mEjector;
    private final Clock mClock;
    private final UniformRandomProvider mRandom;
    private final Map<UpstreamId, Upstream> mUpstreams = new HashMap<>();
    private final List<Upstream> mLocal = new ArrayList<>();
    private final List<Upstream> mRemote = new ArrayList<>();
    private Set<DataCentreId> mOutOfServiceDataCentres = Set.of();
    private Optional<Duration> mSmallestExpectedDelay = Optional.empty();
    private long mExpectedDelayComputedNanos = Long.MIN_VALUE;

    /**
     * Creates a selector without upstreams.
     *
     * @param localDataCentre data centre of this entry
     * @param settings settings
     * @param networkDelays estimated round-trip times, shared by the selectors of all services
     * @param ejector ejector of the same service
     * @param clock source of time
     * @param random source of random numbers
     */
    public UpstreamSelector(
            DataCentreId localDataCentre,
            SelectorSettings settings,
            NetworkDelays networkDelays,
            OutlierEjector ejector,
            Clock clock,
            UniformRandomProvider random) {
        mLocalDataCentre = localDataCentre;
        mSettings = settings;
        mNetworkDelays = networkDelays;
        mEjector = ejector;
        mClock = clock;
        mRandom = random;
    }

    /**
     * Adds an upstream or updates its announced state.
     *
     * @param id identifier of the upstream
     * @param dataCentre data centre of the upstream
     * @param slots maximum number of concurrent requests of the upstream, at least 1
     * @param leaving true if the upstream accepts no new requests
     */
    public void put(UpstreamId id, DataCentreId dataCentre, int slots, boolean leaving) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream == null || !upstream.mDataCentre.equals(dataCentre)) {
            remove(id);
            upstream = new Upstream(id, dataCentre);
            mUpstreams.put(id, upstream);
            (dataCentre.equals(mLocalDataCentre) ? mLocal : mRemote).add(upstream);
            mEjector.add(id);
        }
        upstream.mSlots = Math.max(1, slots);
        upstream.mLeaving = leaving;
        mExpectedDelayComputedNanos = Long.MIN_VALUE;
    }

    /**
     * Removes an upstream. Has no effect if it is unknown.
     *
     * @param id identifier of the upstream
     */
    public void remove(UpstreamId id) {
        Upstream upstream = mUpstreams.remove(id);
        if (upstream != null) {
            mLocal.remove(upstream);
            mRemote.remove(upstream);
            mEjector.remove(id);
            mExpectedDelayComputedNanos = Long.MIN_VALUE;
        }
    }

    /**
     * Sets the data centres that are out of service, whose upstreams get no requests.
     *
     * @param outOfService data centres that are out of service
     */
    public void setOutOfServiceDataCentres(Set<DataCentreId> outOfService) {
        mOutOfServiceDataCentres = Set.copyOf(outOfService);
    }

    /**
     * Marks an upstream as leaving until it is announced again.
     *
     * @param id identifier of the upstream
     */
    public void markLeaving(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mLeaving = true;
        }
    }

    /**
     * Records a load report of an upstream.
     *
     * @param id identifier of the upstream
     * @param load the load report
     */
    public void recordLoad(UpstreamId id, UpstreamLoad load) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream == null) {
            return;
        }
        upstream.mReportNanos = mClock.monotonicNanos();
        upstream.mReportedRequests = load.running() + load.queued();
        upstream.mSentSinceReport = 0;
        upstream.mSlots = Math.max(1, load.slots());
        if (load.serviceMicros() > 0) {
            upstream.mServiceTimeNanos = load.serviceMicros() * 1_000.0;
        }
        upstream.mLeaving |= load.leaving();
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        return chooseUpstream(excluded).map(upstream -> upstream.mId);
    }

    @Override
    public boolean isAvailable(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        return upstream != null && eligible(upstream, Set.of());
    }

    @Override
    public void recordSent(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mOpenRequests++;
            upstream.mSentSinceReport++;
        }
    }

    @Override
    public void recordEnded(UpstreamId id, AttemptResult result) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mOpenRequests = Math.max(0, upstream.mOpenRequests - 1);
            mEjector.record(id, result);
        }
    }

    /**
     * Returns the smallest expected delay until an answer over all eligible upstreams. The value
     * may be up to 10 ms old.
     *
     * @return the delay, or empty if no upstream is eligible
     */
    public Optional<Duration> expectedDelay() {
        long now = mClock.monotonicNanos();
        if (mExpectedDelayComputedNanos == Long.MIN_VALUE
                || now - mExpectedDelayComputedNanos > EXPECTED_DELAY_LIFETIME_NANOS) {
            mExpectedDelayComputedNanos = now;
            mSmallestExpectedDelay = smallestExpectedDelay();
        }
        return mSmallestExpectedDelay;
    }

    private Optional<Duration> smallestExpectedDelay() {
        return mUpstreams.values().stream()
                .filter(upstream -> eligible(upstream, Set.of()))
                .map(upstream -> Duration.ofNanos((long) expectedDelayNanos(upstream)))
                .min(Duration::compareTo);
    }

    /**
     * Returns the number of known upstreams.
     *
     * @return the number
     */
    public int size() {
        return mUpstreams.size();
    }

    private Optional<Upstream> chooseUpstream(Set<UpstreamId> excluded) {
        Upstream local = selectBetterOfTwo(mLocal, excluded);
        if (local != null && queueingDelayNanos(local) <= 0) {
            return Optional.of(local);
        }
        Upstream remote = selectBetterOfTwo(mRemote, excluded);
        if (local == null || remote == null) {
            return Optional.ofNullable(local == null ? remote : local);
        }
        double extraNetworkDelay =
                mNetworkDelays.roundTripNanos(remote.mDataCentre)
                        - mNetworkDelays.roundTripNanos(local.mDataCentre);
        boolean spillOver =
                queueingDelayNanos(local)
                        > queueingDelayNanos(remote) + Math.max(0, extraNetworkDelay);
        return Optional.of(spillOver ? remote : local);
    }

    private Upstream selectBetterOfTwo(List<Upstream> upstreams, Set<UpstreamId> excluded) {
        Upstream first = pickRandom(upstreams, excluded, null);
        if (first == null) {
            return null;
        }
        Upstream second = pickRandom(upstreams, excluded, first);
        return second == null || expectedDelayNanos(first) <= expectedDelayNanos(second)
                ? first
                : second;
    }

    private Upstream pickRandom(
            List<Upstream> upstreams, Set<UpstreamId> excluded, Upstream other) {
        if (upstreams.isEmpty()) {
            return null;
        }
        for (int i = 0; i < MAX_RANDOM_PICKS; i++) {
            Upstream upstream = upstreams.get(mRandom.nextInt(upstreams.size()));
            if (upstream != other && eligible(upstream, excluded)) {
                return upstream;
            }
        }
        List<Upstream> eligible =
                upstreams.stream()
                        .filter(upstream -> upstream != other && eligible(upstream, excluded))
                        .toList();
        return eligible.isEmpty() ? null : eligible.get(mRandom.nextInt(eligible.size()));
    }

    private boolean eligible(Upstream upstream, Set<UpstreamId> excluded) {
        if (upstream.mLeaving
                || excluded.contains(upstream.mId)
                || mOutOfServiceDataCentres.contains(upstream.mDataCentre)
                || mEjector.ejected(upstream.mId)) {
            return false;
        }
        double weight = mEjector.weight(upstream.mId);
        return weight >= 1
                || upstream.mOpenRequests < Math.max(1, (int) (weight * upstream.mSlots));
    }

    private double expectedDelayNanos(Upstream upstream) {
        double loadPerSlot = (double) requestCount(upstream) / upstream.mSlots;
        double service = serviceTimeNanos(upstream) * (1 + LOAD_PER_SLOT_WEIGHT * loadPerSlot);
        double delay =
                mNetworkDelays.roundTripNanos(upstream.mDataCentre)
                        + service
                        + queueingDelayNanos(upstream);
        return delay / mEjector.weight(upstream.mId);
    }

    private double queueingDelayNanos(Upstream upstream) {
        int waiting = Math.max(0, requestCount(upstream) + 1 - upstream.mSlots);
        return serviceTimeNanos(upstream) * waiting / upstream.mSlots;
    }

    /**
     * Returns the number of requests at an upstream: that of all entries according to a recent load
     * report, but at least the number of open requests of this entry.
     */
    private int requestCount(Upstream upstream) {
        long age = mClock.monotonicNanos() - upstream.mReportNanos;
        if (upstream.mReportNanos == Long.MIN_VALUE || age > mSettings.reportLifetime().toNanos()) {
            return upstream.mOpenRequests;
        }
        return Math.max(
                upstream.mOpenRequests, upstream.mReportedRequests + upstream.mSentSinceReport);
    }

    private double serviceTimeNanos(Upstream upstream) {
        return upstream.mServiceTimeNanos > 0
                ? upstream.mServiceTimeNanos
                : mSettings.initialService().toNanos();
    }

    /** State of one upstream. */
    private static final class Upstream {
        private final UpstreamId mId;
        private final DataCentreId mDataCentre;
        private int mSlots = 1;
        private boolean mLeaving;
        private int mOpenRequests;
        private int mReportedRequests;
        private int mSentSinceReport;
        private long mReportNanos = Long.MIN_VALUE;
        private double mServiceTimeNanos;

        Upstream(UpstreamId id, DataCentreId dataCentre) {
            mId = id;
            mDataCentre = dataCentre;
        }
    }
}
