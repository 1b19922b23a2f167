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
 * All upstreams known. Records are ordered by (incarnation, sequence), and deltas of a partition by
 * the epoch of its owner, so that a late message never overwrites a newer one. Used from one
 * thread.
 */
public final class UpstreamTable {
    /**
     * Time for which an upstream stays that its partition's owner no longer lists. After a change
     * of owner the agents need some seconds to reach the new one.
     */
    static final Duration MISSING_LIMIT = Duration.ofSeconds(30);

    /** Time for which an upstream that has gone is remembered, to recognize late messages. */
    static final Duration GONE_RETENTION = Duration.ofMinutes(10);

    private final Clock mClock;
    private final Map<UpstreamKey, Entry> mEntries = new HashMap<>();
    private final Map<DaemonId, Long> mIncarnations = new HashMap<>();
    private final Map<Integer, Long> mEpochs = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock clock
     */
    public UpstreamTable(Clock clock) {
        mClock = clock;
    }

    /**
     * Applies a delta of a partition's owner.
     *
     * @param delta the delta
     * @return records that have changed; those that have gone are marked so
     */
    public List<UpstreamRecord> apply(UpstreamDelta delta) {
        long known = mEpochs.getOrDefault(delta.partition(), 0L);
        if (delta.epoch() < known) {
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
            mEntries.forEach(
                    (key, entry) -> {
                        if (entry.mPartition == delta.partition() && !listed.contains(key)) {
                            entry.missing(mClock.monotonicNanos());
                        }
                    });
        }
        return changed;
    }

    /**
     * Removes upstreams that have been missing for too long and forgets those that have gone.
     *
     * @return records that have changed, marked as gone
     */
    public List<UpstreamRecord> expire() {
        long now = mClock.monotonicNanos();
        List<UpstreamRecord> changed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            boolean overdue = entry.mMissing && now - entry.mMissingNanos > MISSING_LIMIT.toNanos();
            if (overdue && !entry.mRecord.state().gone()) {
                entry.gone(now);
                changed.add(entry.mRecord);
            }
        }
        mEntries.values()
                .removeIf(
                        entry ->
                                entry.mRecord.state().gone()
                                        && now - entry.mGoneNanos > GONE_RETENTION.toNanos());
        Set<DaemonId> agents = new HashSet<>();
        mEntries.keySet().forEach(key -> agents.add(key.agent()));
        mIncarnations.keySet().retainAll(agents);
        return changed;
    }

    /**
     * Looks up an upstream.
     *
     * @param key the upstream
     * @return its newest record, or empty
     */
    public Optional<UpstreamRecord> get(UpstreamKey key) {
        return Optional.ofNullable(mEntries.get(key)).map(entry -> entry.mRecord);
    }

    /**
     * Highest epoch known for a partition.
     *
     * @param partition the partition
     * @return the epoch, or 0
     */
    public long epoch(int partition) {
        return mEpochs.getOrDefault(partition, 0L);
    }

    /**
     * Number of upstreams that have not gone.
     *
     * @return the count
     */
    public int size() {
        return (int) mEntries.values().stream().filter(e -> !e.mRecord.state().gone()).count();
    }

    private List<UpstreamRecord> apply(UpstreamRecord record, int partition) {
        long known = mIncarnations.getOrDefault(record.agent(), Long.MIN_VALUE);
        if (record.incarnation() < known) {
            return List.of();
        }
        List<UpstreamRecord> changed = new ArrayList<>();
        if (record.incarnation() > known) {
            mIncarnations.put(record.agent(), record.incarnation());
            changed.addAll(dropBefore(record.agent(), record.incarnation()));
        }
        Entry entry = mEntries.get(UpstreamKey.of(record));
        if (entry == null) {
            entry = new Entry();
            mEntries.put(UpstreamKey.of(record), entry);
        } else if (entry.newerThan(record)) {
            return changed;
        }
        boolean same = record.equals(entry.mRecord);
        entry.set(record, partition, mClock.monotonicNanos());
        if (!same) {
            changed.add(record);
        }
        return changed;
    }

    /** A restarted agent announces its upstreams again; those before its restart have gone. */
    private List<UpstreamRecord> dropBefore(DaemonId agent, long incarnation) {
        List<UpstreamRecord> changed = new ArrayList<>();
        mEntries.forEach(
                (key, entry) -> {
                    boolean older = entry.mRecord.incarnation() < incarnation;
                    if (key.agent().equals(agent) && older && !entry.mRecord.state().gone()) {
                        entry.gone(mClock.monotonicNanos());
                        changed.add(entry.mRecord);
                    }
                });
        return changed;
    }

    /** Newest record of one upstream. */
    private static final class Entry {
        private UpstreamRecord mRecord;
        private int mPartition;
        private boolean mMissing;
        private long mMissingNanos;
        private long mGoneNanos;

        boolean newerThan(UpstreamRecord other) {
            if (mRecord.incarnation() != other.incarnation()) {
                return mRecord.incarnation() > other.incarnation();
            }
            return mRecord.state().seq() > other.state().seq();
        }

        void set(UpstreamRecord record, int partition, long now) {
            mRecord = record;
            mPartition = partition;
            mMissing = false;
            mGoneNanos = now;
        }

        void missing(long now) {
            if (!mMissing) {
                mMissing = true;
                mMissingNanos = now;
            }
        }

        void gone(long now) {
            UpstreamState state = mRecord.state();
            mGoneNanos = now;
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
