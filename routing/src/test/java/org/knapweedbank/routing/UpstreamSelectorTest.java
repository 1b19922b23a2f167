package org.knapweedbank.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.ManualClock;

/**
 * Guards against selecting upstreams that must not get requests, and against selecting distant
 * upstreams without need.
 */
class UpstreamSelectorTest {
    private static final DataCentreId NEAR = new DataCentreId("near");
    private static final DataCentreId FAR = new DataCentreId("far");
    private static final UpstreamId A = FixedPool.id("a");
    private static final UpstreamId B = FixedPool.id("b");
    private static final UpstreamId C = FixedPool.id("c");

    private final ManualClock mClock = new ManualClock();
    private final OutlierEjector mEjector = new OutlierEjector(EjectionSettings.DEFAULT, mClock);
    private final UpstreamSelector mSelector =
            new UpstreamSelector(
                    NEAR,
                    SelectorSettings.DEFAULT,
                    new NetworkDelays(NEAR, SelectorSettings.DEFAULT),
                    mEjector,
                    mClock,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(7));

    @BeforeEach
    void addUpstreams() {
        mSelector.put(A, NEAR, 8, false);
        mSelector.put(B, NEAR, 8, false);
        mSelector.put(C, FAR, 8, false);
    }

    @Test
    void prefersOwnDataCentre() {
        assertThat(selectionCounts(100).keySet()).containsExactly(A, B);
    }

    @Test
    void prefersLowerExpectedDelay() {
        mSelector.recordLoad(A, new UpstreamLoad(8, 4, 8, 5_000, false));
        mSelector.recordLoad(B, new UpstreamLoad(2, 0, 8, 5_000, false));
        assertThat(selectionCounts(100).keySet()).containsExactly(B);
    }

    /**
     * The additional round-trip time is 7.5 ms: a queueing delay of 5 ms must not spill over to the
     * remote data centre, one of 10 ms must.
     */
    @Test
    void spillsOverWhenQueueingExceedsNetworkDelay() {
        reportQueuedAtNear(7);
        assertThat(selectionCounts(20).keySet()).containsNoneIn(Set.of(C));
        reportQueuedAtNear(15);
        assertThat(selectionCounts(20).keySet()).containsExactly(C);
    }

    @Test
    void skipsLeavingRemovedAndEjectedUpstreams() {
        mSelector.put(A, NEAR, 8, true);
        assertThat(selectionCounts(50).keySet()).containsExactly(B);
        mSelector.setOutOfServiceDataCentres(Set.of(NEAR));
        assertThat(selectionCounts(50).keySet()).containsExactly(C);
        mSelector.setOutOfServiceDataCentres(Set.of(NEAR, FAR));
        assertThat(selectionCounts(50)).isEmpty();
        mSelector.setOutOfServiceDataCentres(Set.of());
        recordFailures(B, 5);
        assertThat(selectionCounts(50).keySet()).containsExactly(C);
        assertThat(mSelector.isAvailable(B)).isFalse();
    }

    @Test
    void loadReportMarksLeaving() {
        mSelector.recordLoad(A, new UpstreamLoad(0, 0, 8, 5_000, true));
        assertThat(selectionCounts(50).keySet()).containsExactly(B);
    }

    @Test
    void limitsShareOfEjectedUpstreams() {
        recordFailures(A, 5);
        recordFailures(B, 50);
        assertThat(mEjector.ejectedCount()).isEqualTo(1);
    }

    @Test
    void increasesLoadGraduallyAfterEjection() {
        recordFailures(A, 5);
        mClock.advance(Duration.ofSeconds(5));
        assertThat(mEjector.ejected(A)).isFalse();
        assertThat(mEjector.weight(A)).isWithin(0.01).of(0.1);
        int early = selectionCounts(1_000).getOrDefault(A, 0);
        mClock.advance(Duration.ofSeconds(10));
        assertThat(mEjector.weight(A)).isWithin(0.01).of(1);
        assertThat(early).isLessThan(selectionCounts(1_000).getOrDefault(A, 0));
    }

    @Test
    void ejectsOnFailureShareWithoutConsecutiveFailures() {
        for (int i = 0; i < 20; i++) {
            mEjector.record(A, AttemptResult.FAILED);
            mEjector.record(A, AttemptResult.ANSWERED);
        }
        assertThat(mEjector.ejected(A)).isTrue();
    }

    @Test
    void ignoresRefusedAndCancelledAttempts() {
        for (int i = 0; i < 100; i++) {
            mEjector.record(A, AttemptResult.REFUSED);
            mEjector.record(A, AttemptResult.CANCELLED);
        }
        assertThat(mEjector.ejected(A)).isFalse();
    }

    /** Guards against treating an upstream that hangs and sends no load reports as idle. */
    @Test
    void countsOpenRequestsWithoutLoadReports() {
        for (int i = 0; i < 30; i++) {
            mSelector.recordSent(A);
        }
        assertThat(selectionCounts(50).keySet()).containsExactly(B);
    }

    private void reportQueuedAtNear(int queued) {
        mSelector.recordLoad(A, new UpstreamLoad(8, queued, 8, 5_000, false));
        mSelector.recordLoad(B, new UpstreamLoad(8, queued, 8, 5_000, false));
    }

    private void recordFailures(UpstreamId id, int times) {
        for (int i = 0; i < times; i++) {
            mEjector.record(id, AttemptResult.FAILED);
        }
    }

    private Map<UpstreamId, Integer> selectionCounts(int count) {
        Map<UpstreamId, Integer> chosen = new HashMap<>();
        for (int i = 0; i < count; i++) {
            mSelector.select(Set.of()).ifPresent(id -> chosen.merge(id, 1, Integer::sum));
        }
        return chosen;
    }
}
