package org.knapweedbank.scheduling.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.LearnedState;

/**
 * Estimates the ratio of measured to declared resource usage for each task class. CPU is corrected
 * in both directions, because a task with too little CPU is only slower. Memory is only increased,
 * because a task with too little memory is killed.
 */
public final class UsageEstimates {
    /** Number of samples after which the resources of a class are corrected. */
    private static final int MIN_SAMPLES = 30;

    /** Minimum weight of a sample in the moving averages; the first samples have more weight. */
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    /** Number of standard deviations reserved above the mean CPU ratio. */
    private static final double RESERVED_DEVIATIONS = 2;

    /** Minimum ratio of reserved to declared CPU. */
    private static final double MIN_CPU_RATIO = 0.25;

    /** Maximum ratio of reserved to declared CPU and memory. */
    private static final double MAX_RATIO = 2;

    /** Factor applied to the largest memory ratio seen. */
    private static final double MEMORY_MARGIN = 1.1;

    /**
     * Decay factor of the largest memory ratio for each sample; the ratio halves after about 7,000
     * samples.
     */
    private static final double MEMORY_PEAK_DECAY = 0.9999;

    /**
     * Ratios are rounded up to multiples of 1/16, so that small changes do not change the size of a
     * class's tasks.
     */
    private static final double RATIO_STEPS = 16;

    /** Maximum number of classes; the class that was added first is dropped. */
    private static final int MAX_CLASSES = 512;

    /** Usage statistics of a class and the resulting ratios of reserved to declared resources. */
    private static final class Estimate {
        private int mSamples;
        private double mCpuMean;
        private double mCpuVariance;
        private double mMemoryPeak;
        private double mCpuRatio = 1;
        private double mMemoryRatio = 1;
    }

    private final Map<String, Estimate> mEstimates =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Estimate> eldest) {
                    return size() > MAX_CLASSES;
                }
            };

    /**
     * Records a sample.
     *
     * @param taskClass class of the task
     * @param declared declared resources of the task
     * @param used measured usage of the task
     * @return true if the corrected resources of the class have changed
     */
    public boolean record(String taskClass, Resources declared, Resources used) {
        Estimate estimate = mEstimates.computeIfAbsent(taskClass, key -> new Estimate());
        double cpu = ratio(used.milliCpu(), declared.milliCpu());
        double difference = cpu - estimate.mCpuMean;
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (estimate.mSamples + 1));
        estimate.mCpuMean += weight * difference;
        estimate.mCpuVariance =
                (1 - weight) * (estimate.mCpuVariance + weight * difference * difference);
        estimate.mMemoryPeak =
                Math.max(
                        estimate.mMemoryPeak * MEMORY_PEAK_DECAY,
                        ratio(used.memoryMb(), declared.memoryMb()));
        estimate.mSamples++;
        return estimate.mSamples >= MIN_SAMPLES && updateRatios(estimate);
    }

    private static boolean updateRatios(Estimate estimate) {
        double cpu =
                roundUp(
                        Math.max(
                                MIN_CPU_RATIO,
                                estimate.mCpuMean
                                        + RESERVED_DEVIATIONS * Math.sqrt(estimate.mCpuVariance)));
        double memory = roundUp(Math.max(1, estimate.mMemoryPeak * MEMORY_MARGIN));
        boolean changed = cpu != estimate.mCpuRatio || memory != estimate.mMemoryRatio;
        estimate.mCpuRatio = cpu;
        estimate.mMemoryRatio = memory;
        return changed;
    }

    private static double roundUp(double ratio) {
        return Math.min(MAX_RATIO, Math.ceil(ratio * RATIO_STEPS) / RATIO_STEPS);
    }

    private static double ratio(long used, long declared) {
        return declared <= 0 ? 1 : (double) used / declared;
    }

    /**
     * Returns the resources to reserve for a task.
     *
     * @param taskClass class of the task
     * @param declared declared resources of the task
     * @return corrected CPU, and memory of at least the declared amount
     */
    public Resources resourcesToReserve(String taskClass, Resources declared) {
        Estimate estimate = mEstimates.get(taskClass);
        if (estimate == null || estimate.mSamples < MIN_SAMPLES) {
            return declared;
        }
        return new Resources(
                (long) Math.ceil(declared.milliCpu() * estimate.mCpuRatio),
                (long) Math.ceil(declared.memoryMb() * estimate.mMemoryRatio),
                declared.accelerators());
    }

    /**
     * Returns the learned usage for a snapshot.
     *
     * @return usage by class
     */
    public List<LearnedState.ClassUsage> snapshot() {
        return mEstimates.entrySet().stream()
                .map(
                        entry ->
                                new LearnedState.ClassUsage(
                                        entry.getKey(),
                                        entry.getValue().mSamples,
                                        entry.getValue().mCpuMean,
                                        entry.getValue().mCpuVariance,
                                        entry.getValue().mMemoryPeak))
                .toList();
    }

    /**
     * Restores the learned usage from a snapshot.
     *
     * @param usage usage by class
     */
    public void restore(List<LearnedState.ClassUsage> usage) {
        for (LearnedState.ClassUsage learned : usage) {
            Estimate estimate = new Estimate();
            estimate.mSamples = learned.samples();
            estimate.mCpuMean = learned.cpuMean();
            estimate.mCpuVariance = learned.cpuVariance();
            estimate.mMemoryPeak = learned.memoryPeak();
            if (estimate.mSamples >= MIN_SAMPLES) {
                updateRatios(estimate);
            }
            mEstimates.put(learned.taskClass(), estimate);
        }
    }
}
