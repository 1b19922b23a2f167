package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.StepSpec;

/**
 * Learns how much fillers of each image disturb serving tasks, from the figures that VMs report.
 *
 * <p>The utilization behind a serving task's tail latency rises with the processor time that
 * fillers use beside it, by a factor that depends on their image. Each pair of successive samples
 * of a VM gives the change of both. A Kalman filter with independent factors weighs each change
 * against the noise of the figures, which is large: the load of the serving task moves as well, so
 * a single change tells little, and the factor of an image needs tens of them.
 */
final class PressureEstimator {
    /** Mean and variance of the factors of images that nothing is known of. */
    private static final double PRIOR_MEAN = 0.5;

    private static final double PRIOR_VARIANCE = 0.25;

    /** Variance of the change of utilization between two samples that fillers have no part in. */
    private static final double NOISE_VARIANCE = 0.005;

    /** Growth of a factor's variance with each observation, as factors change over time. */
    private static final double DRIFT_VARIANCE = 0.0002;

    /** Standard deviations by which a factor is taken for larger than its mean. */
    private static final double CAUTION = 1;

    /** Factor of an image without observations: cautious, as a heavy one harms at once. */
    static final double UNKNOWN = PRIOR_MEAN + CAUTION * Math.sqrt(PRIOR_VARIANCE);

    /** Smallest change of use, as a share of a VM, that tells anything. */
    private static final double LEAST_CHANGE = 0.005;

    /**
     * Largest change of utilization that is taken for an observation; tasks that begin to work or
     * wake from a pause show larger ones.
     */
    private static final double LARGEST_RISE = 0.3;

    private static final double HIGHEST = 5;

    private final Map<String, Factor> mFactors = new HashMap<>();

    /**
     * What a VM reported at one time.
     *
     * @param utilization utilization of each serving task at work, by name of its task
     * @param use processor time that fillers of each image use, as a share of the VM
     */
    record Sample(Map<String, Double> utilization, Map<String, Double> use) {}

    /** Rise of a serving task's utilization for each whole VM that fillers of an image use. */
    double factor(String image) {
        Factor factor = mFactors.get(image);
        if (factor == null) {
            return UNKNOWN;
        }
        return Math.clamp(factor.mMean + CAUTION * Math.sqrt(factor.mVariance), 0, HIGHEST);
    }

    /** Rise of a serving task's utilization that a filler of a step causes on a VM at full pace. */
    double rise(StepSpec spec, Vm vm) {
        double use = (double) spec.perTask().milliCpu() / vm.mWorker.capacity().milliCpu();
        return factor(spec.image()) * use;
    }

    /**
     * Rise of a serving task's utilization that is still to come from the fillers of a VM: by the
     * processor time that they ask for and, paced or just started, have not used yet.
     */
    double withheld(Vm vm) {
        double asked =
                vm.mAttempts.values().stream()
                        .map(attempt -> attempt.mTask.mStep.mSpec)
                        .filter(spec -> spec.traits().filler())
                        .mapToDouble(spec -> rise(spec, vm))
                        .sum();
        double used =
                vm.mSample == null
                        ? 0
                        : vm.mSample.use().entrySet().stream()
                                .mapToDouble(use -> factor(use.getKey()) * use.getValue())
                                .sum();
        return Math.max(0, asked - used);
    }

    /** Learns from two successive samples of one VM. */
    void observe(Sample before, Sample after) {
        Map<String, Double> changes = new HashMap<>();
        after.use().forEach((image, use) -> changes.merge(image, use, Double::sum));
        before.use().forEach((image, use) -> changes.merge(image, -use, Double::sum));
        changes.values().removeIf(change -> Math.abs(change) < LEAST_CHANGE);
        List<Double> rises =
                after.utilization().entrySet().stream()
                        .filter(e -> before.utilization().containsKey(e.getKey()))
                        .map(e -> e.getValue() - before.utilization().get(e.getKey()))
                        .filter(rise -> Math.abs(rise) <= LARGEST_RISE)
                        .toList();
        if (!changes.isEmpty() && !rises.isEmpty()) {
            correct(
                    changes,
                    rises.stream().mapToDouble(Double::doubleValue).average().getAsDouble());
        }
    }

    private void correct(Map<String, Double> changes, double rise) {
        double error = rise;
        double variance = NOISE_VARIANCE;
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            Factor factor = mFactors.computeIfAbsent(change.getKey(), image -> new Factor());
            error -= factor.mMean * change.getValue();
            variance += factor.mVariance * change.getValue() * change.getValue();
        }
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            mFactors.get(change.getKey()).correct(change.getValue(), error, variance);
        }
    }

    /** Estimate of one image's factor. */
    private static final class Factor {
        double mMean = PRIOR_MEAN;
        double mVariance = PRIOR_VARIANCE;

        void correct(double change, double error, double errorVariance) {
            double gain = mVariance * change / errorVariance;
            mMean += gain * error;
            mVariance = mVariance * (1 - gain * change) + DRIFT_VARIANCE;
        }
    }
}
