package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.owner.PressureEstimator.Sample;

/** Tests of estimating the interference of images from noisy samples with fixed seeds. */
class PressureEstimatorTest {
    private static final int SAMPLES = 400;

    /**
     * Guards against estimates that do not distinguish images with strong interference from
     * harmless ones.
     */
    @Test
    void heavyAndLightImagesAreDistinguished() {
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
     * Guards against an estimate that follows the last noisy sample. With the noise of real
     * measurements, and an image with strong and one with weak interference that run at varying
     * times, the samples of a minute must rank the two images correctly.
     */
    @Test
    void noisySamplesDoNotSwapHeavyAndLightImages() {
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

    /** Guards against a low estimate for an image that never ran beside a serving task. */
    @Test
    void unobservedImageGetsHighFactor() {
        assertThat(new PressureEstimator().factor("new"))
                .isEqualTo(PressureEstimator.UNOBSERVED_FACTOR);
    }

    /**
     * Returns a sample of a VM on which the image "heavy" raises the utilization by twice its
     * processor use and "light" does not raise it.
     */
    private static Sample sample(double heavy, double light, double load) {
        return new Sample(Map.of("task", load + 2 * heavy), Map.of("heavy", heavy, "light", light));
    }
}
