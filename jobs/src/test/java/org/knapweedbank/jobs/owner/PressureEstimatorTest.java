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

    /**
     * Guards against an estimate that follows the last noisy sample: with the noise of real figures
     * and a heavy and a harmless image that come and go by turns, a minute's samples must rank
     * them.
     */
    @Test
    void noisyFiguresDoNotSwapHeavyAndHarmlessImages() {
        for (int seed = 1; seed <= 20; seed++) {
            PressureEstimator estimator = new PressureEstimator();
            Random random = new Random(seed);
            for (int i = 0; i < 120; i++) {
                double heavy = random.nextBoolean() ? 0.15 * random.nextDouble() : 0;
                double light = random.nextBoolean() ? 0.15 * random.nextDouble() : 0;
                double load = 0.4 + 0.07 * random.nextGaussian();
                Sample before = sample(0, 0, 0.4);
                Sample after =
                        new Sample(
                                Map.of("task", load + 0.7 * heavy + 0.05 * light),
                                Map.of("heavy", heavy, "light", light));
                estimator.observe(before, after);
            }
            assertThat(estimator.factor("heavy")).isGreaterThan(estimator.factor("light"));
            assertThat(estimator.factor("light")).isLessThan(0.5);
        }
    }

    /** Guards against an estimate for an image that was never seen beside a serving task. */
    @Test
    void unknownImageIsTakenForADisturbingOne() {
        assertThat(new PressureEstimator().factor("new"))
                .isEqualTo(PressureEstimator.UNOBSERVED_FACTOR);
    }

    /** A VM where the heavy image raises the utilization twofold and the light one not at all. */
    private static Sample sample(double heavy, double light, double load) {
        return new Sample(Map.of("task", load + 2 * heavy), Map.of("heavy", heavy, "light", light));
    }
}
