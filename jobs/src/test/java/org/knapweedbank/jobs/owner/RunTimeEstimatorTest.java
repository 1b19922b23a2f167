package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.QueueKey;

/** Tests of estimating run times from completed tasks, with a fixed seed. */
class RunTimeEstimatorTest {
    private static final QueueKey QUEUE = new QueueKey("example", "/q/");

    private final RunTimeEstimator mEstimator = new RunTimeEstimator();
    private final Random mRandom = new Random(3);

    private double randomLogNormal(double median, double sigma) {
        return median * Math.exp(sigma * mRandom.nextGaussian());
    }

    /** Guards against ranking jobs by declared run times that are wrong by a factor of ten. */
    @Test
    void noisyDeclarationsGiveTypicalRunTime() {
        for (int i = 0; i < 40; i++) {
            mEstimator.observe(
                    QUEUE, (long) randomLogNormal(2_000, 1), randomLogNormal(2_000, 0.3), 1);
        }
        assertThat(mEstimator.expectedMillis(QUEUE, 200)).isAtLeast(1_000);
        assertThat(mEstimator.expectedMillis(QUEUE, 20_000)).isAtMost(4_000);
    }

    /** Guards against ignoring declared run times that are accurate. */
    @Test
    void accurateDeclarationsAreKept() {
        for (int i = 0; i < 40; i++) {
            long declared = (long) randomLogNormal(2_000, 1);
            mEstimator.observe(QUEUE, declared, declared, 1);
        }
        assertThat(mEstimator.expectedMillis(QUEUE, 500)).isWithin(150).of(500);
        assertThat(mEstimator.expectedMillis(QUEUE, 8_000)).isWithin(2_000).of(8_000);
    }

    /** Guards against estimates for one queue from the tasks of another. */
    @Test
    void queuesAreEstimatedSeparately() {
        mEstimator.observe(new QueueKey("example", "/other/"), 1_000, 9_000, 1);
        assertThat(mEstimator.expectedMillis(QUEUE, 1_000)).isEqualTo(1_000);
    }
}
