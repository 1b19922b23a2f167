package org.knapweedbank.node.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.Resources;

/**
 * Generator of seeded random filler jobs. Their declared run times deviate widely from the actual
 * ones, as submitters' estimates do in the first week after a launch.
 */
final class BatchLoad {
    static final double STRETCH = 2;
    static final long LATENCY_TARGET_MILLIS = 1_000;

    private static final double MEAN_RUN_TIME_MILLIS = 2_400;
    private static final double RUN_TIME_SIGMA = 0.5;
    private static final double DECLARED_TIME_SIGMA = 0.9;
    private static final double TASK_TIME_SIGMA = 0.15;
    private static final double MEAN_MILLI_CPU = 3_500;
    private static final int IMAGE_COUNT = 9;
    private static final double HEAVY_IMAGE_SHARE = 0.55;
    private static final double HEAVY_PRESSURE = 1.6;
    private static final double LIGHT_PRESSURE = 0.1;

    private final Random mRandom;
    private final double[] mPressures = new double[IMAGE_COUNT];

    BatchLoad(long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < IMAGE_COUNT; i++) {
            mPressures[i] = i < IMAGE_COUNT * HEAVY_IMAGE_SHARE ? HEAVY_PRESSURE : LIGHT_PRESSURE;
        }
    }

    /**
     * Generated job.
     *
     * @param arrivalMillis time of submission after the start of the load
     * @param steps submitted steps
     * @param profiles actual behaviour of the tasks of each step
     */
    record LoadJob(
            String id, long arrivalMillis, List<StepSpec> steps, List<List<TaskProfile>> profiles) {
        /** Returns the processor time of all tasks in core-milliseconds. */
        double workCoreMillis() {
            return profiles.stream()
                    .flatMap(List::stream)
                    .mapToDouble(p -> p.runMillis() * p.milliCpu() / 1_000)
                    .sum();
        }

        /**
         * Returns the latency objective: a multiple of the actual critical path plus a constant.
         */
        double objectiveMillis() {
            double criticalPathMillis =
                    profiles.stream()
                            .mapToDouble(
                                    step ->
                                            step.stream()
                                                    .mapToDouble(TaskProfile::runMillis)
                                                    .max()
                                                    .orElse(0))
                            .sum();
            return STRETCH * criticalPathMillis + LATENCY_TARGET_MILLIS;
        }
    }

    /** Generates jobs that arrive as a Poisson process during a period. */
    List<LoadJob> jobs(Duration period, double jobsPerSecond) {
        List<LoadJob> jobs = new ArrayList<>();
        double arrivalMillis = 0;
        while (true) {
            arrivalMillis -= Math.log(1 - mRandom.nextDouble()) / jobsPerSecond * 1_000;
            if (arrivalMillis > period.toMillis()) {
                return jobs;
            }
            jobs.add(job(String.format("%016x", jobs.size() + 1), Math.round(arrivalMillis)));
        }
    }

    double randomPhase() {
        return mRandom.nextDouble() * 2 * Math.PI;
    }

    private LoadJob job(String id, long arrivalMillis) {
        int stepCount = Math.clamp(Math.round(lognormal(2, 0.4)), 1, 5);
        int image = mRandom.nextInt(IMAGE_COUNT);
        List<StepSpec> steps = new ArrayList<>();
        List<List<TaskProfile>> profiles = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            int taskCount = Math.clamp(Math.round(lognormal(8, 0.6)), 1, 32);
            long milliCpu = Math.round(Math.min(7_000, lognormal(MEAN_MILLI_CPU, 0.3)));
            double runMillis = Math.min(6_000, lognormal(MEAN_RUN_TIME_MILLIS, RUN_TIME_SIGMA));
            List<TaskProfile> tasks = new ArrayList<>();
            for (int t = 0; t < taskCount; t++) {
                tasks.add(
                        new TaskProfile(
                                milliCpu,
                                lognormal(runMillis, TASK_TIME_SIGMA),
                                mPressures[image],
                                0));
            }
            profiles.add(tasks);
            steps.add(
                    step(
                            i,
                            taskCount,
                            milliCpu,
                            Math.round(lognormal(runMillis, DECLARED_TIME_SIGMA)),
                            image));
        }
        return new LoadJob(id, arrivalMillis, steps, profiles);
    }

    private static StepSpec step(
            int number, int taskCount, long milliCpu, long declaredMillis, int image) {
        return new StepSpec(
                taskCount,
                new Resources(milliCpu, 1_000, 0),
                Duration.ofMillis(Math.max(1, declaredMillis)),
                number == 0 ? List.of() : List.of(number - 1),
                new StepTraits(true, false, false, false, true),
                PlacementRule.ANYWHERE,
                "image-" + image,
                Duration.ZERO,
                -1);
    }

    /** Returns a lognormally distributed random value with a given mean. */
    private double lognormal(double mean, double sigma) {
        return mean * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
    }
}
