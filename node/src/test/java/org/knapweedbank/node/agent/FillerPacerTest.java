package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.RunProfile;

/** Pace of fillers beside serving tasks, one decision each half second. */
class FillerPacerTest {
    private static final double PRESSURE = 0.4;

    private final FillerPacer mPacer = new FillerPacer();
    private long mNow = 1_000;

    private void observe(List<Double> loads, double pressure) {
        mNow += FillerPacer.AVERAGING_PERIOD_MILLIS;
        mPacer.observe(mNow, loads, pressure);
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

    /** A filler whose caller gains as much as that of all others. */
    private static RunProfile filler(double pressure) {
        return filler(pressure, 1 / pressure);
    }

    private static RunProfile filler(double pressure, double rank) {
        return new RunProfile(pressure, rank, Duration.ZERO);
    }

    /** Guards against many fillers that all crawl, so that none ends in time. */
    @Test
    void fillerOfTheHighestRankGetsTheBudgetFirst() {
        observe(8, 0.7);
        List<Integer> paces = paces(filler(0.15, 1), filler(0.15, 3), filler(0.15, 2));
        assertThat(paces.get(1)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(0)).isLessThan(paces.get(2));
    }

    /** Guards against harm that lasts: fillers must be all but halted within two seconds. */
    @Test
    void fillersAreHaltedWhileTheObjectiveIsMissed() {
        observe(4, 1.5);
        assertThat(pace(PRESSURE)).isAtMost(10);
    }

    /** Guards against harm by a small excess that proportional steps would correct too slowly. */
    @Test
    void fillersAreHaltedWhenASmallExcessLasts() {
        observe(3, 1.01);
        assertThat(pace(PRESSURE)).isEqualTo(0);
    }

    /** Guards against fillers that never recover. */
    @Test
    void paceRecoversWhenThereIsRoom() {
        observe(6, 2.0);
        observe(10, 0.4);
        assertThat(pace(PRESSURE)).isEqualTo(FillerPacer.FULL_PERCENT);
    }

    /** Guards against throwing batch work away without need. */
    @Test
    void fillersRunAtFullPaceWithoutServingTasks() {
        observe(List.of(), PRESSURE);
        assertThat(pace(PRESSURE)).isEqualTo(FillerPacer.FULL_PERCENT);
    }

    /** Guards against a burst at full pace after a time without fillers. */
    @Test
    void paceStaysWhileThereAreNoFillers() {
        observe(List.of(1.5), PRESSURE);
        int before = pace(PRESSURE);
        for (int i = 0; i < 10; i++) {
            observe(List.of(0.2), 0);
        }
        assertThat(pace(PRESSURE)).isEqualTo(before);
    }

    /** Guards against a spike of latency each time that another filler starts. */
    @Test
    void fillerThatJoinsSharesTheBudget() {
        observe(5, 0.77);
        int alone = pace(PRESSURE);
        assertThat(paces(filler(PRESSURE), filler(PRESSURE)).getLast()).isAtMost(alone / 2 + 1);
    }

    /** Guards against harmless batch work that waits because a heavy filler runs beside it. */
    @Test
    void harmlessFillersKeepTheirPaceBesideAHeavyOne() {
        for (int i = 0; i < 8; i++) {
            observe(List.of(0.8), 1.02);
        }
        List<Integer> paces = paces(filler(0.5), filler(0.01), filler(0.5), filler(0.01));
        assertThat(paces.get(1)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(3)).isEqualTo(FillerPacer.FULL_PERCENT);
        assertThat(paces.get(0)).isLessThan(30);
        assertThat(paces.get(0)).isEqualTo(paces.get(2));
    }

    /** Guards against harmless fillers that work on while an objective is missed for long. */
    @Test
    void allFillersAreHaltedWhenAMissLasts() {
        for (int i = 0; i < 3; i++) {
            observe(List.of(1.2), 0.51);
        }
        assertThat(paces(filler(0.5), filler(0.01))).containsExactly(0, 0);
    }

    /** Guards against fillers that are halted because one high figure is read several times. */
    @Test
    void oneFigureIsCorrectedOnce() {
        observe(List.of(0.6), PRESSURE);
        observe(List.of(1.1), PRESSURE);
        int once = pace(PRESSURE);
        for (int i = 0; i < 10; i++) {
            mPacer.observe(mNow + i, List.of(1.1), PRESSURE);
        }
        assertThat(once).isGreaterThan(0);
        assertThat(pace(PRESSURE)).isEqualTo(once);
    }
}
