package org.knapweedbank.scheduling;

import java.util.List;

/**
 * What a scheduler has learned about task classes, for the snapshot of the partition. Its size is
 * bounded by the number of classes.
 *
 * @param usage usage by class
 * @param penalties interference of pairs with a penalty above 0
 */
public record LearnedState(List<ClassUsage> usage, List<PairPenalty> penalties) {
    /** Copies the lists. */
    public LearnedState {
        usage = List.copyOf(usage);
        penalties = List.copyOf(penalties);
    }

    /**
     * Usage of a class as ratios to the declared resources.
     *
     * @param taskClass the class
     * @param samples number of samples
     * @param cpuMean mean ratio of processor time
     * @param cpuVariance variance of that ratio
     * @param memoryPeak largest ratio of memory, decayed
     */
    public record ClassUsage(
            String taskClass, int samples, double cpuMean, double cpuVariance, double memoryPeak) {}

    /**
     * Interference of a pair.
     *
     * @param serviceClass class of the service
     * @param batchClass class of the batch task
     * @param value penalty from 0 to 1 at the time of the snapshot
     */
    public record PairPenalty(String serviceClass, String batchClass, double value) {}
}
