package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.QueueKey;

/** Learning run times from tasks that have ended, with a fixed seed. */
class RunTimeEstimatorTest {
    private static final QueueKey QUEUE = new QueueKey("example", "/q/");

    private final RunTimeEstimator mEstimator = new RunTimeEstimator();
    private final Random mRandom = new Random(3);

    private double spread(double mean, double sigma) {
        return mean * Math.exp(sigma * mRandom.nextGaussian());
    }

    /** Guards against jobs ranked by declared run times that are off by a factor of ten. */
    @Test
    void declarationsThatAreNoiseGiveTheTypicalRunTime() {
        for (int i = 0; i < 40; i++) {
            mEstimator.observe(QUEUE, (long) spread(2_000, 1), spread(2_000, 0.3), 1);
        }
        assertThat(mEstimator.expectedMillis(QUEUE, 200)).isAtLeast(1_000);
        assertThat(mEstimator.expectedMillis(QUEUE, 20_000)).isAtMost(4_000);
    }

    /** Guards against good declarations that are thrown away. */
    @Test
    void declarationsThatAreRightAreKept() {
        for (int i = 0; i < 40; i++) {
            long declared = (long) spread(2_000, 1);
            mEstimator.observe(QUEUE, declared, declared, 1);
        }
        assertThat(mEstimator.expectedMillis(QUEUE, 500)).isWithin(150).of(500);
        assertThat(mEstimator.expectedMillis(QUEUE, 8_000)).isWithin(2_000).of(8_000);
    }

    /** Guards against a queue that is judged by what runs in another. */
    @Test
    void queuesAreLearnedApart() {
        mEstimator.observe(new QueueKey("example", "/other/"), 1_000, 9_000, 1);
        assertThat(mEstimator.expectedMillis(QUEUE, 1_000)).isEqualTo(1_000);
    }
}
