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
 * of a VM gives the change of both; a normalized least-mean-squares step moves the factors of the
 * images whose use has changed. The load of the serving task itself changes slowly against that.
 */
final class PressureEstimator {
    /** Factor of an image without observations: cautious, as most images disturb. */
    static final double UNKNOWN = 1.2;

    /** Share of an error that one observation corrects. */
    private static final double STEP = 0.25;

    /** Smallest change of use, as a share of a VM, that tells anything. */
    private static final double LEAST_CHANGE = 0.01;

    private static final double HIGHEST = 5;

    private final Map<String, Double> mFactors = new HashMap<>();

    /**
     * What a VM reported at one time.
     *
     * @param utilization utilization of each serving task at work, by name of its task
     * @param use processor time that fillers of each image use, as a share of the VM
     */
    record Sample(Map<String, Double> utilization, Map<String, Double> use) {}

    /** Rise of a serving task's utilization for each whole VM that fillers of an image use. */
    double factor(String image) {
        return mFactors.getOrDefault(image, UNKNOWN);
    }

    /** Rise of a serving task's utilization that a filler of a step causes on a VM at full pace. */
    double rise(StepSpec spec, Vm vm) {
        double use = (double) spec.perTask().milliCpu() / vm.mWorker.capacity().milliCpu();
        return factor(spec.image()) * use;
    }

    /** Learns from two successive samples of one VM. */
    void observe(Sample before, Sample after) {
        Map<String, Double> changes = new HashMap<>();
        after.use().forEach((image, use) -> changes.merge(image, use, Double::sum));
        before.use().forEach((image, use) -> changes.merge(image, -use, Double::sum));
        changes.values().removeIf(change -> Math.abs(change) < LEAST_CHANGE);
        if (changes.isEmpty()) {
            return;
        }
        List<Double> rises =
                after.utilization().entrySet().stream()
                        .filter(e -> before.utilization().containsKey(e.getKey()))
                        .map(e -> e.getValue() - before.utilization().get(e.getKey()))
                        .toList();
        if (rises.isEmpty()) {
            return;
        }
        double rise = rises.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double expected =
                changes.entrySet().stream()
                        .mapToDouble(e -> factor(e.getKey()) * e.getValue())
                        .sum();
        double square = changes.values().stream().mapToDouble(c -> c * c).sum();
        changes.forEach(
                (image, change) -> {
                    double step = STEP * (rise - expected) * change / square;
                    double factor = Math.clamp(factor(image) + step, 0, HIGHEST);
                    mFactors.put(image, factor);
                });
    }
}
