package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.StepSpec;

/**
 * Estimates how much fillers of each image interfere with serving tasks, from the measurements that
 * VMs report.
 *
 * <p>The utilization that a serving task's tail latency indicates rises with the processor time
 * that fillers use on the same VM, by a factor that depends on their image. Each pair of successive
 * samples of a VM gives the changes of both. A Kalman filter with independent factors weights each
 * change against the noise of the measurements. The noise is large, because the load of the serving
 * task changes as well. So a single change carries little information, and the factor of an image
 * needs tens of them.
 */
final class PressureEstimator {
    /** Mean of the factor of an image without observations. */
    private static final double PRIOR_MEAN = 0.5;

    /** Variance of the factor of an image without observations. */
    private static final double PRIOR_VARIANCE = 0.25;

    /** Variance of the change of utilization between two samples that is not caused by fillers. */
    private static final double NOISE_VARIANCE = 0.005;

    /** Growth of a factor's variance with each observation, since factors change over time. */
    private static final double DRIFT_VARIANCE = 0.0002;

    /** Number of standard deviations that are added to the mean of a factor. */
    private static final double SAFETY_DEVIATIONS = 1;

    /**
     * Factor of an image without observations. It is high, because an image with strong
     * interference does harm from its first run.
     */
    static final double UNOBSERVED_FACTOR =
            PRIOR_MEAN + SAFETY_DEVIATIONS * Math.sqrt(PRIOR_VARIANCE);

    /** Minimum change of processor use, as a share of a VM, that counts as an observation. */
    private static final double MIN_USE_CHANGE = 0.005;

    /**
     * Maximum change of utilization that counts as an observation. Tasks that start to serve or
     * resume after a pause show larger changes.
     */
    private static final double MAX_UTILIZATION_CHANGE = 0.3;

    /** Upper bound of a factor. */
    private static final double MAX_FACTOR = 5;

    private final Map<String, FactorEstimate> mFactors = new HashMap<>();

    /**
     * Measurements that a VM reported at one time.
     *
     * @param utilization utilization of each serving task that serves requests, by the name of the
     *     task
     * @param use processor time that the fillers of each image use, as a share of the VM
     */
    record Sample(Map<String, Double> utilization, Map<String, Double> use) {}

    /**
     * Returns the pressure factor of an image: the rise of a serving task's utilization if fillers
     * of the image used the whole processor time of its VM.
     */
    double factor(String image) {
        FactorEstimate factor = mFactors.get(image);
        if (factor == null) {
            return UNOBSERVED_FACTOR;
        }
        return Math.clamp(
                factor.mMean + SAFETY_DEVIATIONS * Math.sqrt(factor.mVariance), 0, MAX_FACTOR);
    }

    /**
     * Returns the rise of a serving task's utilization that one filler of a step causes on a VM at
     * full speed.
     */
    double expectedRise(StepSpec spec, Vm vm) {
        double use = (double) spec.perTask().milliCpu() / vm.mWorker.capacity().milliCpu();
        return factor(spec.image()) * use;
    }

    /**
     * Returns the rise of a serving task's utilization that the fillers of a VM may still cause, by
     * processor time that they request but do not use because they are throttled or have just
     * started.
     */
    double pendingRise(Vm vm) {
        if (vm.fillerMilliCpuByImage().isEmpty()) {
            return 0;
        }
        double capacity = vm.mWorker.capacity().milliCpu();
        double requestedRise =
                vm.fillerMilliCpuByImage().entrySet().stream()
                        .mapToDouble(image -> factor(image.getKey()) * image.getValue() / capacity)
                        .sum();
        double currentRise =
                vm.sample() == null
                        ? 0
                        : vm.sample().use().entrySet().stream()
                                .mapToDouble(use -> factor(use.getKey()) * use.getValue())
                                .sum();
        return Math.max(0, requestedRise - currentRise);
    }

    /** Updates the factors from two successive samples of one VM. */
    void observe(Sample before, Sample after) {
        Map<String, Double> useChanges = new HashMap<>();
        after.use().forEach((image, use) -> useChanges.merge(image, use, Double::sum));
        before.use().forEach((image, use) -> useChanges.merge(image, -use, Double::sum));
        useChanges.values().removeIf(change -> Math.abs(change) < MIN_USE_CHANGE);
        List<Double> utilizationChanges =
                after.utilization().entrySet().stream()
                        .filter(e -> before.utilization().containsKey(e.getKey()))
                        .map(e -> e.getValue() - before.utilization().get(e.getKey()))
                        .filter(change -> Math.abs(change) <= MAX_UTILIZATION_CHANGE)
                        .toList();
        if (!useChanges.isEmpty() && !utilizationChanges.isEmpty()) {
            update(
                    useChanges,
                    utilizationChanges.stream()
                            .mapToDouble(Double::doubleValue)
                            .average()
                            .getAsDouble());
        }
    }

    /**
     * Applies the changes between two samples to the factors of all images that changed their use.
     */
    private void update(Map<String, Double> useChanges, double utilizationChange) {
        double error = utilizationChange;
        double variance = NOISE_VARIANCE;
        for (Map.Entry<String, Double> change : useChanges.entrySet()) {
            FactorEstimate factor =
                    mFactors.computeIfAbsent(change.getKey(), image -> new FactorEstimate());
            error -= factor.mMean * change.getValue();
            variance += factor.mVariance * change.getValue() * change.getValue();
        }
        for (Map.Entry<String, Double> change : useChanges.entrySet()) {
            mFactors.get(change.getKey()).update(change.getValue(), error, variance);
        }
    }

    /** Estimate of the factor of one image. */
    private static final class FactorEstimate {
        double mMean = PRIOR_MEAN;
        double mVariance = PRIOR_VARIANCE;

        void update(double change, double error, double errorVariance) {
            double gain = mVariance * change / errorVariance;
            mMean += gain * error;
            mVariance = mVariance * (1 - gain * change) + DRIFT_VARIANCE;
        }
    }
}
