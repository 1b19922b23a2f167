package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.owner.PressureEstimator.Sample;

/** Learning which images disturb, from noisy samples with a fixed seed. */
class PressureEstimatorTest {
    private static final int SAMPLES = 400;

    /** Guards against placing by guesses: heavy and harmless images must be told apart. */
    @Test
    void heavyAndHarmlessImagesAreToldApart() {
        PressureEstimator estimator = new PressureEstimator();
        Random random = new Random(7);
        Sample before = sample(0, 0, 0.3);
        for (int i = 0; i < SAMPLES; i++) {
            double load = 0.3 + 0.1 * Math.sin(i / 4.0) + 0.02 * random.nextGaussian();
            Sample after = sample(0.2 * random.nextDouble(), 0.2 * random.nextDouble(), load);
            estimator.observe(before, after);
            before = after;
        }
        assertThat(estimator.factor("heavy")).isWithin(0.6).of(2);
        assertThat(estimator.factor("light")).isLessThan(0.6);
    }

    /** Guards against an estimate for an image that was never seen beside a serving task. */
    @Test
    void unknownImageIsTakenForADisturbingOne() {
        assertThat(new PressureEstimator().factor("new")).isEqualTo(PressureEstimator.UNKNOWN);
    }

    /** A VM where the heavy image raises the utilization twofold and the light one not at all. */
    private static Sample sample(double heavy, double light, double load) {
        return new Sample(Map.of("task", load + 2 * heavy), Map.of("heavy", heavy, "light", light));
    }
}
