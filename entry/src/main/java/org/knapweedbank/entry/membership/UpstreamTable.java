package org.knapweedbank.entry.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamDelta;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/**
 * Table of all known upstreams. Records of an upstream are ordered by (incarnation, sequence
 * number) and deltas of a partition by the epoch of its owner, so that a delayed message never
 * overwrites a newer one. Not thread-safe.
 */
public final class UpstreamTable {
    /**
     * Time until an upstream is removed that the owner of its partition no longer lists. After a
     * change of owner, the agents need some seconds to connect to the new one.
     */
    static final Duration MISSING_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Time for which the record of a removed upstream is retained, so that delayed messages about
     * it are recognized as outdated.
     */
    static final Duration GONE_RETENTION = Duration.ofMinutes(10);

    private final Clock mClock;
    private final Map<UpstreamKey, TrackedUpstream> mUpstreams = new HashMap<>();
    private final Map<DaemonId, Long> mIncarnations = new HashMap<>();
    private final Map<Integer, Long> mEpochs = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock monotonic clock for the timeouts
     */
    public UpstreamTable(Clock clock) {
        mClock = clock;
    }

    /**
     * Applies a delta from a partition's owner. A delta with an older epoch than the last one of
     * the partition is ignored. Upstreams that a snapshot does not list are marked as missing.
     *
     * @param delta the delta
     * @return the changed records; records of removed upstreams have the {@code gone} flag set
     */
    public List<UpstreamRecord> apply(UpstreamDelta delta) {
        long knownEpoch = mEpochs.getOrDefault(delta.partition(), 0L);
        if (delta.epoch() < knownEpoch) {
            return List.of();
        }
        mEpochs.put(delta.partition(), delta.epoch());
        List<UpstreamRecord> changed = new ArrayList<>();
        Set<UpstreamKey> listed = new HashSet<>();
        for (UpstreamRecord record : delta.records()) {
            listed.add(UpstreamKey.of(record));
            changed.addAll(apply(record, delta.partition()));
        }
        if (delta.snapshot()) {
            mUpstreams.forEach(
                    (key, upstream) -> {
                        if (upstream.mPartition == delta.partition() && !listed.contains(key)) {
                            upstream.markMissing(mClock.monotonicNanos());
                        }
                    });
        }
        return changed;
    }

    /**
     * Removes the upstreams that have been missing for longer than {@link #MISSING_TIMEOUT}, and
     * discards the records of removed upstreams after {@link #GONE_RETENTION}.
     *
     * @return records of the upstreams removed by this call, with the {@code gone} flag set
     */
    public List<UpstreamRecord> expire() {
        long nowNanos = mClock.monotonicNanos();
        List<UpstreamRecord> changed = new ArrayList<>();
        for (TrackedUpstream upstream : mUpstreams.values()) {
            boolean timedOut =
                    upstream.mMissing
                            && nowNanos - upstream.mMissingSinceNanos > MISSING_TIMEOUT.toNanos();
            if (timedOut && !upstream.mRecord.state().gone()) {
                upstream.markGone(nowNanos);
                changed.add(upstream.mRecord);
            }
        }
        mUpstreams
                .values()
                .removeIf(
                        upstream ->
                                upstream.mRecord.state().gone()
                                        && nowNanos - upstream.mUpdatedNanos
                                                > GONE_RETENTION.toNanos());
        Set<DaemonId> agents = new HashSet<>();
        mUpstreams.keySet().forEach(key -> agents.add(key.agent()));
        mIncarnations.keySet().retainAll(agents);
        return changed;
    }

    /**
     * Returns the newest record of an upstream.
     *
     * @param key key of the upstream
     * @return the record, which may have the {@code gone} flag set, or empty if none is known
     */
    public Optional<UpstreamRecord> get(UpstreamKey key) {
        return Optional.ofNullable(mUpstreams.get(key)).map(upstream -> upstream.mRecord);
    }

    /**
     * Returns the highest owner epoch seen for a partition.
     *
     * @param partition number of the partition
     * @return the epoch, or 0 if none is known
     */
    public long epoch(int partition) {
        return mEpochs.getOrDefault(partition, 0L);
    }

    /**
     * Returns the number of upstreams that have not been removed.
     *
     * @return the count
     */
    public int size() {
        return (int)
                mUpstreams.values().stream()
                        .filter(upstream -> !upstream.mRecord.state().gone())
                        .count();
    }

    private List<UpstreamRecord> apply(UpstreamRecord record, int partition) {
        long knownIncarnation = mIncarnations.getOrDefault(record.agent(), Long.MIN_VALUE);
        if (record.incarnation() < knownIncarnation) {
            return List.of();
        }
        List<UpstreamRecord> changed = new ArrayList<>();
        if (record.incarnation() > knownIncarnation) {
            mIncarnations.put(record.agent(), record.incarnation());
            changed.addAll(markGoneBefore(record.agent(), record.incarnation()));
        }
        TrackedUpstream upstream = mUpstreams.get(UpstreamKey.of(record));
        if (upstream == null) {
            upstream = new TrackedUpstream();
            mUpstreams.put(UpstreamKey.of(record), upstream);
        } else if (upstream.isNewerThan(record)) {
            return changed;
        }
        boolean unchanged = record.equals(upstream.mRecord);
        upstream.update(record, partition, mClock.monotonicNanos());
        if (!unchanged) {
            changed.add(record);
        }
        return changed;
    }

    /**
     * Removes the upstreams that an agent announced before its restart. A restarted agent announces
     * its upstreams again.
     */
    private List<UpstreamRecord> markGoneBefore(DaemonId agent, long incarnation) {
        List<UpstreamRecord> changed = new ArrayList<>();
        mUpstreams.forEach(
                (key, upstream) -> {
                    boolean older = upstream.mRecord.incarnation() < incarnation;
                    if (key.agent().equals(agent) && older && !upstream.mRecord.state().gone()) {
                        upstream.markGone(mClock.monotonicNanos());
                        changed.add(upstream.mRecord);
                    }
                });
        return changed;
    }

    /** Newest record of one upstream, with the times that its removal depends on. */
    private static final class TrackedUpstream {
        private UpstreamRecord mRecord;
        private int mPartition;
        private boolean mMissing;
        private long mMissingSinceNanos;
        private long mUpdatedNanos;

        boolean isNewerThan(UpstreamRecord other) {
            if (mRecord.incarnation() != other.incarnation()) {
                return mRecord.incarnation() > other.incarnation();
            }
            return mRecord.state().seq() > other.state().seq();
        }

        void update(UpstreamRecord record, int partition, long nowNanos) {
            mRecord = record;
            mPartition = partition;
            mMissing = false;
            mUpdatedNanos = nowNanos;
        }

        void markMissing(long nowNanos) {
            if (!mMissing) {
                mMissing = true;
                mMissingSinceNanos = nowNanos;
            }
        }

        void markGone(long nowNanos) {
            UpstreamState state = mRecord.state();
            mUpdatedNanos = nowNanos;
            mRecord =
                    new UpstreamRecord(
                            mRecord.agent(),
                            mRecord.incarnation(),
                            mRecord.dataCentre(),
                            mRecord.agentAddress(),
                            new UpstreamState(
                                    state.service(),
                                    state.address(),
                                    state.slots(),
                                    state.connections(),
                                    state.leaving(),
                                    true,
                                    state.seq()));
        }
    }
}
