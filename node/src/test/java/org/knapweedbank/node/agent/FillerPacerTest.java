package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Pace of fillers beside serving tasks, one decision each half second. */
class FillerPacerTest {
    private final FillerPacer mPacer = new FillerPacer();

    /** Guards against harm that lasts: fillers must be all but halted within two seconds. */
    @Test
    void fillersAreHaltedWhileTheObjectiveIsMissed() {
        for (int i = 0; i < 4; i++) {
            mPacer.next(List.of(1.5));
        }
        assertThat(mPacer.pace()).isAtMost(10);
    }

    /** Guards against fillers that never recover. */
    @Test
    void paceRecoversWhenThereIsRoom() {
        for (int i = 0; i < 6; i++) {
            mPacer.next(List.of(2.0));
        }
        for (int i = 0; i < 10; i++) {
            mPacer.next(List.of(0.4));
        }
        assertThat(mPacer.pace()).isEqualTo(FillerPacer.FULL);
    }

    /** Guards against throwing batch work away without need. */
    @Test
    void fillersRunAtFullPaceWithoutServingTasks() {
        assertThat(mPacer.next(List.of())).isEqualTo(FillerPacer.FULL);
    }
}
