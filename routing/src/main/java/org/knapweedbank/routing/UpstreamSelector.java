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
 * Chooses upstreams of one service by two random choices and expected delay. Prefers the own data
 * centre and spills over when the queueing delay there exceeds the extra network delay. Used from
 * one thread.
 */
public final class UpstreamSelector implements UpstreamPool {
    /**
     * Weight of the load below the number of slots. It spreads requests over idle upstreams whose
     * service times differ only by noise.
     */
    private static final double LOAD_WEIGHT = 0.1;

    /** Time for which the smallest expected delay is reused, as it needs a pass over all. */
    private static final long EXPECTED_LIFETIME_NANOS = 10_000_000;

    /** Random picks that may hit an unavailable upstream before all are searched. */
    private static final int PICKS = 4;

    private final DataCentreId mOwn;
    private final SelectorSettings mSettings;
    private final NetworkDelays mNetwork;
    private final OutlierEjector mEjector;
    private final Clock mClock;
    private final UniformRandomProvider mRandom;
    private final Map<UpstreamId, Upstream> mUpstreams = new HashMap<>();
    private final List<Upstream> mLocal = new ArrayList<>();
    private final List<Upstream> mRemote = new ArrayList<>();
    private Set<DataCentreId> mRemoved = Set.of();
    private Optional<Duration> mExpected = Optional.empty();
    private long mExpectedNanos = Long.MIN_VALUE;

    /**
     * Creates a selector without upstreams.
     *
     * @param own data centre of this entry
     * @param settings settings
     * @param network estimated round trips, shared by the selectors of all services
     * @param ejector ejector for the same service
     * @param clock clock
     * @param random seeded random source
     */
    public UpstreamSelector(
            DataCentreId own,
            SelectorSettings settings,
            NetworkDelays network,
            OutlierEjector ejector,
            Clock clock,
            UniformRandomProvider random) {
        mOwn = own;
        mSettings = settings;
        mNetwork = network;
        mEjector = ejector;
        mClock = clock;
        mRandom = random;
    }

    /**
     * Adds an upstream or replaces its announced state.
     *
     * @param id the upstream
     * @param dataCentre its data centre
     * @param slots requests that it runs at a time, at least 1
     * @param leaving true if it takes no new work
     */
    public void put(UpstreamId id, DataCentreId dataCentre, int slots, boolean leaving) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream == null || !upstream.mDataCentre.equals(dataCentre)) {
            remove(id);
            upstream = new Upstream(id, dataCentre);
            mUpstreams.put(id, upstream);
            (dataCentre.equals(mOwn) ? mLocal : mRemote).add(upstream);
            mEjector.add(id);
        }
        upstream.mSlots = Math.max(1, slots);
        upstream.mLeaving = leaving;
        mExpectedNanos = Long.MIN_VALUE;
    }

    /**
     * Removes an upstream; no effect if it is not known.
     *
     * @param id the upstream
     */
    public void remove(UpstreamId id) {
        Upstream upstream = mUpstreams.remove(id);
        if (upstream != null) {
            mLocal.remove(upstream);
            mRemote.remove(upstream);
            mEjector.remove(id);
            mExpectedNanos = Long.MIN_VALUE;
        }
    }

    /**
     * Sets the data centres whose upstreams get no work.
     *
     * @param removed data centres that are out of service
     */
    public void removedDataCentres(Set<DataCentreId> removed) {
        mRemoved = Set.copyOf(removed);
    }

    /**
     * Marks an upstream as leaving until it is announced again.
     *
     * @param id the upstream
     */
    public void leaving(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mLeaving = true;
        }
    }

    /**
     * Takes over a load report.
     *
     * @param id the upstream
     * @param load the report
     */
    public void reported(UpstreamId id, UpstreamLoad load) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream == null) {
            return;
        }
        upstream.mReportNanos = mClock.monotonicNanos();
        upstream.mReported = load.running() + load.queued();
        upstream.mSentSinceReport = 0;
        upstream.mSlots = Math.max(1, load.slots());
        if (load.serviceMicros() > 0) {
            upstream.mServiceNanos = load.serviceMicros() * 1_000.0;
        }
        upstream.mLeaving |= load.leaving();
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        return choose(excluded).map(upstream -> upstream.mId);
    }

    @Override
    public boolean available(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        return upstream != null && eligible(upstream, Set.of());
    }

    @Override
    public void sent(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mOpen++;
            upstream.mSentSinceReport++;
        }
    }

    @Override
    public void ended(UpstreamId id, AttemptResult result) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream != null) {
            upstream.mOpen = Math.max(0, upstream.mOpen - 1);
            mEjector.record(id, result);
        }
    }

    /**
     * Smallest delay until an answer expected over all upstreams that can take work; may be 10 ms
     * old.
     *
     * @return the delay, or empty when there is no upstream
     */
    public Optional<Duration> expectedDelay() {
        long now = mClock.monotonicNanos();
        if (mExpectedNanos == Long.MIN_VALUE || now - mExpectedNanos > EXPECTED_LIFETIME_NANOS) {
            mExpectedNanos = now;
            mExpected = smallestExpected();
        }
        return mExpected;
    }

    private Optional<Duration> smallestExpected() {
        return mUpstreams.values().stream()
                .filter(upstream -> eligible(upstream, Set.of()))
                .map(upstream -> Duration.ofNanos((long) expectedNanos(upstream)))
                .min(Duration::compareTo);
    }

    /**
     * Number of upstreams known.
     *
     * @return the count
     */
    public int size() {
        return mUpstreams.size();
    }

    private Optional<Upstream> choose(Set<UpstreamId> excluded) {
        Upstream local = betterOfTwo(mLocal, excluded);
        if (local != null && waitNanos(local) <= 0) {
            return Optional.of(local);
        }
        Upstream remote = betterOfTwo(mRemote, excluded);
        if (local == null || remote == null) {
            return Optional.ofNullable(local == null ? remote : local);
        }
        double extra = mNetwork.nanos(remote.mDataCentre) - mNetwork.nanos(local.mDataCentre);
        boolean spillOver = waitNanos(local) > waitNanos(remote) + Math.max(0, extra);
        return Optional.of(spillOver ? remote : local);
    }

    private Upstream betterOfTwo(List<Upstream> upstreams, Set<UpstreamId> excluded) {
        Upstream first = pick(upstreams, excluded, null);
        if (first == null) {
            return null;
        }
        Upstream second = pick(upstreams, excluded, first);
        return second == null || expectedNanos(first) <= expectedNanos(second) ? first : second;
    }

    private Upstream pick(List<Upstream> upstreams, Set<UpstreamId> excluded, Upstream other) {
        if (upstreams.isEmpty()) {
            return null;
        }
        for (int i = 0; i < PICKS; i++) {
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
                || mRemoved.contains(upstream.mDataCentre)
                || mEjector.ejected(upstream.mId)) {
            return false;
        }
        double weight = mEjector.weight(upstream.mId);
        return weight >= 1 || upstream.mOpen < Math.max(1, (int) (weight * upstream.mSlots));
    }

    private double expectedNanos(Upstream upstream) {
        double load = (double) load(upstream) / upstream.mSlots;
        double service = serviceNanos(upstream) * (1 + LOAD_WEIGHT * load);
        double delay = mNetwork.nanos(upstream.mDataCentre) + service + waitNanos(upstream);
        return delay / mEjector.weight(upstream.mId);
    }

    private double waitNanos(Upstream upstream) {
        int waiting = Math.max(0, load(upstream) + 1 - upstream.mSlots);
        return serviceNanos(upstream) * waiting / upstream.mSlots;
    }

    /** Requests at the upstream: from all entries as last reported, and from this one for sure. */
    private int load(Upstream upstream) {
        long age = mClock.monotonicNanos() - upstream.mReportNanos;
        if (upstream.mReportNanos == Long.MIN_VALUE || age > mSettings.reportLifetime().toNanos()) {
            return upstream.mOpen;
        }
        return Math.max(upstream.mOpen, upstream.mReported + upstream.mSentSinceReport);
    }

    private double serviceNanos(Upstream upstream) {
        return upstream.mServiceNanos > 0
                ? upstream.mServiceNanos
                : mSettings.initialService().toNanos();
    }

    /** State of one upstream. */
    private static final class Upstream {
        private final UpstreamId mId;
        private final DataCentreId mDataCentre;
        private int mSlots = 1;
        private boolean mLeaving;
        private int mOpen;
        private int mReported;
        private int mSentSinceReport;
        private long mReportNanos = Long.MIN_VALUE;
        private double mServiceNanos;

        Upstream(UpstreamId id, DataCentreId dataCentre) {
            mId = id;
            mDataCentre = dataCentre;
        }
    }
}
