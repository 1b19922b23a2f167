package org.knapweedbank.scheduling;

import java.util.List;

/**
 * State that a scheduler has learned about task classes and that is stored in the snapshot of the
 * partition. Its size is bounded by the number of classes.
 *
 * @param usage resource usage by task class
 * @param penalties interference penalties above 0 by pair of task classes
 */
public record LearnedState(List<ClassUsage> usage, List<PairPenalty> penalties) {
    /** Copies the lists to make the record immutable. */
    public LearnedState {
        usage = List.copyOf(usage);
        penalties = List.copyOf(penalties);
    }

    /**
     * Resource usage of a task class as ratios of measured to declared resources.
     *
     * @param taskClass the task class
     * @param samples number of samples
     * @param cpuMean moving average of the CPU ratio
     * @param cpuVariance moving variance of the CPU ratio
     * @param memoryPeak largest memory ratio seen, decayed with each sample
     */
    public record ClassUsage(
            String taskClass, int samples, double cpuMean, double cpuVariance, double memoryPeak) {}

    /**
     * Interference penalty of a service class and a batch class that share a VM.
     *
     * @param serviceClass class of the service
     * @param batchClass class of the batch task
     * @param value penalty from 0 to 1 at the time of the snapshot
     */
    public record PairPenalty(String serviceClass, String batchClass, double value) {}
}
