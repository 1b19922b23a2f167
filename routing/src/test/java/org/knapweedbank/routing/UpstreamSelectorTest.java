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

/** Guards against work for upstreams that must not get any, and against needless distance. */
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
        assertThat(choices(100).keySet()).containsExactly(A, B);
    }

    @Test
    void prefersLowerExpectedDelay() {
        mSelector.reported(A, new UpstreamLoad(8, 4, 8, 5_000, false));
        mSelector.reported(B, new UpstreamLoad(2, 0, 8, 5_000, false));
        assertThat(choices(100).keySet()).containsExactly(B);
    }

    /** The extra round trip is 7.5 ms; a wait of 5 ms must not spill over, one of 10 ms must. */
    @Test
    void spillsOverWhenQueueingExceedsNetworkDelay() {
        reportNear(7);
        assertThat(choices(20).keySet()).containsNoneIn(Set.of(C));
        reportNear(15);
        assertThat(choices(20).keySet()).containsExactly(C);
    }

    @Test
    void leavingRemovedAndEjectedGetNothing() {
        mSelector.put(A, NEAR, 8, true);
        assertThat(choices(50).keySet()).containsExactly(B);
        mSelector.removedDataCentres(Set.of(NEAR));
        assertThat(choices(50).keySet()).containsExactly(C);
        mSelector.removedDataCentres(Set.of(NEAR, FAR));
        assertThat(choices(50)).isEmpty();
        mSelector.removedDataCentres(Set.of());
        fail(B, 5);
        assertThat(choices(50).keySet()).containsExactly(C);
        assertThat(mSelector.available(B)).isFalse();
    }

    @Test
    void loadReportMarksLeaving() {
        mSelector.reported(A, new UpstreamLoad(0, 0, 8, 5_000, true));
        assertThat(choices(50).keySet()).containsExactly(B);
    }

    @Test
    void atMostTheSetShareIsEjected() {
        fail(A, 5);
        fail(B, 50);
        assertThat(mEjector.ejectedCount()).isEqualTo(1);
    }

    @Test
    void returnsWithSlowStart() {
        fail(A, 5);
        mClock.advance(Duration.ofSeconds(5));
        assertThat(mEjector.ejected(A)).isFalse();
        assertThat(mEjector.weight(A)).isWithin(0.01).of(0.1);
        int early = choices(1_000).getOrDefault(A, 0);
        mClock.advance(Duration.ofSeconds(10));
        assertThat(mEjector.weight(A)).isWithin(0.01).of(1);
        assertThat(early).isLessThan(choices(1_000).getOrDefault(A, 0));
    }

    @Test
    void sharedFailuresEjectWithoutARow() {
        for (int i = 0; i < 20; i++) {
            mEjector.record(A, AttemptResult.FAILED);
            mEjector.record(A, AttemptResult.ANSWERED);
        }
        assertThat(mEjector.ejected(A)).isTrue();
    }

    @Test
    void refusalsDoNotEject() {
        for (int i = 0; i < 100; i++) {
            mEjector.record(A, AttemptResult.REFUSED);
            mEjector.record(A, AttemptResult.CANCELLED);
        }
        assertThat(mEjector.ejected(A)).isFalse();
    }

    /** Guards against an upstream that hangs without reports and still looks idle. */
    @Test
    void openRequestsCountWithoutReports() {
        for (int i = 0; i < 30; i++) {
            mSelector.sent(A);
        }
        assertThat(choices(50).keySet()).containsExactly(B);
    }

    private void reportNear(int queued) {
        mSelector.reported(A, new UpstreamLoad(8, queued, 8, 5_000, false));
        mSelector.reported(B, new UpstreamLoad(8, queued, 8, 5_000, false));
    }

    private void fail(UpstreamId id, int times) {
        for (int i = 0; i < times; i++) {
            mEjector.record(id, AttemptResult.FAILED);
        }
    }

    private Map<UpstreamId, Integer> choices(int count) {
        Map<UpstreamId, Integer> chosen = new HashMap<>();
        for (int i = 0; i < count; i++) {
            mSelector.select(Set.of()).ifPresent(id -> chosen.merge(id, 1, Integer::sum));
        }
        return chosen;
    }
}
