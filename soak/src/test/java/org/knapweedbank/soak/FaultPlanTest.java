package org.knapweedbank.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Guards against plans that can't be drawn again from their seed, or that lack their faults. */
final class FaultPlanTest {
    private static final int MILLIS = 60_000;

    private static List<PlannedFault> draw(FaultPlan.Kind kind, long seed) {
        return FaultPlan.draw(kind, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), 4, 2, MILLIS);
    }

    @Test
    void seedGivesSamePlan() {
        for (FaultPlan.Kind kind : FaultPlan.Kind.values()) {
            assertThat(draw(kind, 7)).isEqualTo(draw(kind, 7));
        }
        assertThat(draw(FaultPlan.Kind.MIXED, 7)).isNotEqualTo(draw(FaultPlan.Kind.MIXED, 8));
    }

    @Test
    void mixedPlanHasAllKindsOfFaults() {
        long kinds =
                draw(FaultPlan.Kind.MIXED, 7).stream()
                        .map(planned -> planned.fault().getClass())
                        .distinct()
                        .count();
        assertThat(kinds).isEqualTo(Fault.class.getPermittedSubclasses().length);
    }

    @Test
    void workersRestartWithinFiveSecondsOfHandOver() {
        List<PlannedFault> faults = draw(FaultPlan.Kind.HAND_OVER, 7);
        long handOver = 0;
        for (PlannedFault planned : faults) {
            if (planned.fault() instanceof Fault.OwnerEnd) {
                handOver = planned.atMillis();
            } else if (planned.fault() instanceof Fault.WorkerRestart) {
                assertThat(planned.atMillis() - handOver).isAtMost(5_000);
            }
        }
        assertThat(handOver).isGreaterThan(0);
    }

    @Test
    void lastFailuresOfAllWorkersEndWithPlanAfterRestart() {
        List<PlannedFault> faults = draw(FaultPlan.Kind.WORKER_FAILURES, 7);
        for (int i = 0; i < 4; i++) {
            int worker = i;
            PlannedFault last =
                    faults.stream()
                            .filter(
                                    planned ->
                                            planned.fault() instanceof Fault.WorkerFailures f
                                                    && f.worker() == worker
                                                    && planned.atMillis() + f.millis() == MILLIS)
                            .findFirst()
                            .orElseThrow();
            assertThat(
                            faults.stream()
                                    .filter(planned -> planned.atMillis() > last.atMillis())
                                    .map(PlannedFault::fault)
                                    .anyMatch(
                                            fault ->
                                                    fault instanceof Fault.WorkerRestart r
                                                            && r.worker() == worker))
                    .isTrue();
        }
    }
}
