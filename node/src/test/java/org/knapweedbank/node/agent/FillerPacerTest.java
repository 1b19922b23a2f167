package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.RunProfile;

/** Tests the pace of fillers beside serving tasks, with one adjustment per averaging period. */
class FillerPacerTest {
    private static final double PRESSURE = 0.4;

    private final FillerPacer mPacer = new FillerPacer();
    private long mNowMillis = 1_000;

    private void observe(List<Double> loads, double pressure) {
        mNowMillis += FillerPacer.AVERAGING_PERIOD_MILLIS;
        mPacer.observe(mNowMillis, loads, pressure);
    }

    private void observe(int times, double load) {
        for (int i = 0; i < times; i++) {
            observe(List.of(load), PRESSURE);
        }
    }

    private List<Integer> paces(RunProfile... fillers) {
        return mPacer.paces(List.of(fillers));
    }

    private int pace(double pressure) {
        return paces(filler(pressure)).getFirst();
    }

    /** Returns a filler ranked by the inverse of its pressure, as all callers gain equally. */
    private static RunProfile filler(double pressure) {
        return filler(pressure, 1 / pressure);
    }

    private static RunProfile filler(double pressure, double rank) {
        return new RunProfile(pressure, rank, Duration.ZERO);
    }

    /** Guards against many fillers that all run too slowly to end in time. */
    @Test
    void highestRankGetsTheBudgetFirst() {
        observe(8, 0.7);
        List<Integer> paces = paces(filler(0.15, 1), filler(0.15, 3), filler(0.15, 2));
        assertThat(paces.get(1)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(0)).isLessThan(paces.get(2));
    }

    /** Guards against lasting harm: fillers must be almost halted within two seconds. */
    @Test
    void fillersAreHaltedWhileTheObjectiveIsMissed() {
        observe(4, 1.5);
        assertThat(pace(PRESSURE)).isAtMost(10);
    }

    /** Guards against a small lasting excess, which proportional steps would correct too slowly. */
    @Test
    void fillersAreHaltedWhenSmallExcessPersists() {
        observe(3, 1.01);
        assertThat(pace(PRESSURE)).isEqualTo(0);
    }

    /** Guards against fillers that stay throttled after the load has fallen. */
    @Test
    void paceRecoversWithHeadroom() {
        observe(6, 2.0);
        observe(10, 0.4);
        assertThat(pace(PRESSURE)).isEqualTo(FillerPacer.FULL_PERCENT);
    }

    /** Guards against throttling fillers although no serving task could be harmed. */
    @Test
    void fillersRunAtFullPaceWithoutServingTasks() {
        observe(List.of(), PRESSURE);
        assertThat(pace(PRESSURE)).isEqualTo(FillerPacer.FULL_PERCENT);
    }

    /** Guards against a burst at full pace after a period without fillers. */
    @Test
    void budgetIsKeptWithoutFillers() {
        observe(List.of(1.5), PRESSURE);
        int paceBefore = pace(PRESSURE);
        for (int i = 0; i < 10; i++) {
            observe(List.of(0.2), 0);
        }
        assertThat(pace(PRESSURE)).isEqualTo(paceBefore);
    }

    /** Guards against a latency spike whenever another filler starts. */
    @Test
    void newFillerSharesTheBudget() {
        observe(5, 0.77);
        int paceAlone = pace(PRESSURE);
        assertThat(paces(filler(PRESSURE), filler(PRESSURE)).getLast()).isAtMost(paceAlone / 2 + 1);
    }

    /** Guards against fillers of low pressure that are throttled because of a heavy filler. */
    @Test
    void lightFillersKeepTheirPaceBesideHeavyOnes() {
        for (int i = 0; i < 8; i++) {
            observe(List.of(0.8), 1.02);
        }
        List<Integer> paces = paces(filler(0.5), filler(0.01), filler(0.5), filler(0.01));
        assertThat(paces.get(1)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(3)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(0)).isLessThan(30);
        assertThat(paces.get(0)).isEqualTo(paces.get(2));
    }

    /** Guards against fillers of low pressure that keep running while an objective stays missed. */
    @Test
    void allFillersAreHaltedWhenMissPersists() {
        for (int i = 0; i < 3; i++) {
            observe(List.of(1.2), 0.51);
        }
        assertThat(paces(filler(0.5), filler(0.01))).containsExactly(0, 0);
    }

    /** Guards against fillers that are halted because one high measurement is read repeatedly. */
    @Test
    void oneMeasurementIsCorrectedOnce() {
        observe(List.of(0.6), PRESSURE);
        observe(List.of(1.1), PRESSURE);
        int paceAfterOne = pace(PRESSURE);
        for (int i = 0; i < 10; i++) {
            mPacer.observe(mNowMillis + i, List.of(1.1), PRESSURE);
        }
        assertThat(paceAfterOne).isGreaterThan(0);
        assertThat(pace(PRESSURE)).isEqualTo(paceAfterOne);
    }
}
