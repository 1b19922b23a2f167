package org.knapweedbank.entry.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.UpstreamDelta;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/**
 * Guards against delayed or reordered messages that restore an upstream which is leaving or has
 * been removed.
 */
class UpstreamTableTest {
    private static final UpstreamKey KEY = new UpstreamKey(new DaemonId("a"), "s", "a:80");

    private final ManualClock mClock = new ManualClock();
    private final UpstreamTable mTable = new UpstreamTable(mClock);

    @Test
    void recordWithOlderSequenceNumberIsIgnored() {
        mTable.apply(delta(1, record(1, 2, true, false)));
        assertThat(mTable.apply(delta(1, record(1, 1, false, false)))).isEmpty();
        assertThat(mTable.get(KEY).get().state().leaving()).isTrue();
    }

    @Test
    void newIncarnationReplacesHigherSequenceNumber() {
        mTable.apply(delta(1, record(1, 9, true, false)));
        assertThat(mTable.apply(delta(1, record(2, 1, false, false)))).isNotEmpty();
        assertThat(mTable.apply(delta(1, record(1, 10, true, false)))).isEmpty();
        assertThat(mTable.get(KEY).get().state().leaving()).isFalse();
    }

    /** Guards against upstreams that outlive the restart of their agent. */
    @Test
    void agentRestartRemovesUpstreamsNotAnnouncedAgain() {
        UpstreamRecord other = record("other", 1, 1, false, false);
        mTable.apply(delta(1, record(1, 1, false, false), other));
        List<UpstreamRecord> changed = mTable.apply(delta(1, record(2, 1, false, false)));
        assertThat(changed).hasSize(3);
        assertThat(mTable.size()).isEqualTo(1);
        assertThat(mTable.get(UpstreamKey.of(other)).get().state().gone()).isTrue();
    }

    @Test
    void delayedRecordDoesNotRestoreRemovedUpstream() {
        mTable.apply(delta(1, record(1, 3, false, true)));
        assertThat(mTable.apply(delta(1, record(1, 2, false, false)))).isEmpty();
        assertThat(mTable.size()).isEqualTo(0);
        assertThat(mTable.apply(delta(1, record(1, 4, false, false)))).hasSize(1);
    }

    @Test
    void deltaOfFormerOwnerIsIgnored() {
        mTable.apply(delta(2, record(1, 1, false, false)));
        assertThat(mTable.apply(delta(1, record(1, 2, true, false)))).isEmpty();
        assertThat(mTable.epoch(0)).isEqualTo(2);
    }

    /**
     * Guards against the loss of all upstreams of a partition while its agents reconnect to a new
     * owner, whose first snapshot lists none of them.
     */
    @Test
    void missingUpstreamsAreRemovedAfterTimeout() {
        mTable.apply(delta(1, record(1, 1, false, false)));
        mTable.apply(new UpstreamDelta(0, 2, true, List.of()));
        mClock.advance(Duration.ofSeconds(29));
        assertThat(mTable.expire()).isEmpty();
        mClock.advance(Duration.ofSeconds(2));
        assertThat(mTable.expire()).hasSize(1);
        assertThat(mTable.size()).isEqualTo(0);
    }

    @Test
    void missingUpstreamListedAgainIsNotRemoved() {
        mTable.apply(delta(1, record(1, 1, false, false)));
        mTable.apply(new UpstreamDelta(0, 2, true, List.of()));
        mClock.advance(Duration.ofSeconds(20));
        mTable.apply(delta(2, record(1, 1, false, false)));
        mClock.advance(Duration.ofSeconds(20));
        assertThat(mTable.expire()).isEmpty();
    }

    @Test
    void snapshotOfAnotherPartitionRemovesNothing() {
        mTable.apply(delta(1, record(1, 1, false, false)));
        mTable.apply(new UpstreamDelta(1, 1, true, List.of()));
        mClock.advance(Duration.ofMinutes(5));
        assertThat(mTable.expire()).isEmpty();
    }

    /** Guards against an older record winning in some delivery order, with a duplicated message. */
    @Test
    void anyDeliveryOrderYieldsNewestRecord() {
        UpstreamRecord newest = record(2, 3, true, false);
        List<UpstreamRecord> records =
                new ArrayList<>(
                        Arrays.asList(
                                record(1, 1, false, false),
                                record(1, 7, true, false),
                                record(1, 8, false, true),
                                record(2, 1, false, false),
                                record(2, 2, false, false),
                                newest,
                                newest));
        Random random = new Random(11);
        for (int i = 0; i < 500; i++) {
            Collections.shuffle(records, random);
            UpstreamTable table = new UpstreamTable(mClock);
            records.forEach(record -> table.apply(delta(1, record)));
            assertThat(table.get(KEY)).hasValue(newest);
        }
    }

    private static UpstreamDelta delta(long epoch, UpstreamRecord... records) {
        return new UpstreamDelta(0, epoch, false, List.of(records));
    }

    private static UpstreamRecord record(
            long incarnation, long seq, boolean leaving, boolean gone) {
        return record("s", incarnation, seq, leaving, gone);
    }

    private static UpstreamRecord record(
            String service, long incarnation, long seq, boolean leaving, boolean gone) {
        return new UpstreamRecord(
                new DaemonId("a"),
                incarnation,
                new DataCentreId("dc"),
                "a:70",
                new UpstreamState(service, "a:80", 8, 64, leaving, gone, seq));
    }
}
