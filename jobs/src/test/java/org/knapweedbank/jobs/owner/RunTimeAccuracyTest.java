package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests of the ratio of latest to expected run times. */
class RunTimeAccuracyTest {
    private final RunTimeAccuracy mAccuracy = new RunTimeAccuracy();

    private double ratioAfter(int count, double actualMillis) {
        IntStream.range(0, count)
                .forEach(i -> mAccuracy.observe(OwnerFixture.QUEUE, actualMillis, 1_000));
        return mAccuracy.latestRatio(OwnerFixture.QUEUE);
    }

    /** Guards against latest ends from too few observations, and from those of long ago. */
    @Test
    void ratioFollowsRecentObservations() {
        assertThat(ratioAfter(5, 500)).isEqualTo(2);
        assertThat(ratioAfter(995, 500)).isWithin(0.01).of(0.5);
        assertThat(ratioAfter(200, 4_000)).isWithin(0.05).of(4);
        assertThat(ratioAfter(1_100, 500)).isWithin(0.01).of(0.5);
    }
}
