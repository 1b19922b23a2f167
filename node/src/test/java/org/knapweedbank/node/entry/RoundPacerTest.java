package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the delay between scheduling rounds. */
class RoundPacerTest {
    private final RoundPacer mPacer = new RoundPacer();

    /** Guards against a needless delay of urgent jobs on an owner with little load. */
    @Test
    void shortRoundsAreNotDelayed() {
        assertThat(mPacer.delay()).isEqualTo(RoundPacer.MIN_DELAY);
        mPacer.roundTook(Duration.ofNanos(200_000));
        assertThat(mPacer.delay()).isEqualTo(RoundPacer.MIN_DELAY);
    }

    /** Guards against rounds that take most of the processor time of a loaded owner. */
    @Test
    void longRoundsTakeABoundedShareOfTheTime() {
        Duration round = Duration.ofMillis(8);
        mPacer.roundTook(round);
        Duration period = round.plus(mPacer.delay());
        assertThat(round.toMillis() * 4).isAtMost(period.toMillis());
    }

    /** Guards against jobs that wait long because one round was slow. */
    @Test
    void delayIsLimitedAndEndsWithTheLoad() {
        mPacer.roundTook(Duration.ofSeconds(2));
        assertThat(mPacer.delay()).isEqualTo(RoundPacer.MAX_DELAY);
        mPacer.roundTook(Duration.ofMillis(0));
        assertThat(mPacer.delay()).isEqualTo(RoundPacer.MIN_DELAY);
    }
}
