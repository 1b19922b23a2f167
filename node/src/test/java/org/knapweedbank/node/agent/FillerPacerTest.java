package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Pace of fillers beside serving tasks, one decision each half second. */
class FillerPacerTest {
    private static final double PRESSURE = 0.4;

    private final FillerPacer mPacer = new FillerPacer();

    private void observe(int times, double load) {
        for (int i = 0; i < times; i++) {
            mPacer.observe(List.of(load), PRESSURE);
        }
    }

    /** Guards against harm that lasts: fillers must be all but halted within two seconds. */
    @Test
    void fillersAreHaltedWhileTheObjectiveIsMissed() {
        observe(4, 1.5);
        assertThat(mPacer.pace(PRESSURE)).isAtMost(10);
    }

    /** Guards against harm by a small excess that proportional steps would correct too slowly. */
    @Test
    void fillersAreHaltedWhenASmallExcessLasts() {
        observe(3, 1.01);
        assertThat(mPacer.pace(PRESSURE)).isEqualTo(0);
    }

    /** Guards against fillers that never recover. */
    @Test
    void paceRecoversWhenThereIsRoom() {
        observe(6, 2.0);
        observe(10, 0.4);
        assertThat(mPacer.pace(PRESSURE)).isEqualTo(FillerPacer.FULL);
    }

    /** Guards against throwing batch work away without need. */
    @Test
    void fillersRunAtFullPaceWithoutServingTasks() {
        mPacer.observe(List.of(), PRESSURE);
        assertThat(mPacer.pace(PRESSURE)).isEqualTo(FillerPacer.FULL);
    }

    /** Guards against a burst at full pace after a time without fillers. */
    @Test
    void paceStaysWhileThereAreNoFillers() {
        mPacer.observe(List.of(1.5), PRESSURE);
        int before = mPacer.pace(PRESSURE);
        for (int i = 0; i < 10; i++) {
            mPacer.observe(List.of(0.2), 0);
        }
        assertThat(mPacer.pace(PRESSURE)).isEqualTo(before);
    }

    /** Guards against a spike of latency each time that another filler starts. */
    @Test
    void fillerThatJoinsSharesTheBudget() {
        observe(5, 0.77);
        int alone = mPacer.pace(PRESSURE);
        assertThat(mPacer.pace(2 * PRESSURE)).isAtMost(alone / 2 + 1);
    }
}
