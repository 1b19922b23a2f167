package org.knapweedbank.bench.scheduling;

import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/**
 * Measures the scheduling decisions per second on one core, and the heap used for each VM and task,
 * by number of workers.
 */
public final class PlacementThroughput implements Benchmark {
    static final long SEED = 20261204;
    static final int[] WORKER_COUNTS = {500, 1_000, FleetModel.TARGET_WORKERS, 4_000};

    /** Number of tasks started in 50 ms at 1,200 starts a second. */
    private static final int TASKS_PER_ROUND = 60;

    /** Ratio of submitted tasks to those of the target size, for a full fleet. */
    private static final double SATURATING_LOAD_FACTOR = 1.8;

    private static final int WARM_UP_ROUNDS = 1_000;
    private static final int MEASURED_ROUNDS = 2_000;

    @Override
    public String name() {
        return "placement.throughput";
    }

    @Override
    public void run(BenchmarkReport report) {
        double[] microsPerDecision = new double[WORKER_COUNTS.length];
        for (int i = 0; i < WORKER_COUNTS.length; i++) {
            microsPerDecision[i] = measure(WORKER_COUNTS[i], 1, report);
        }
        measure(FleetModel.TARGET_WORKERS, SATURATING_LOAD_FACTOR, report);
        int lastIndex = WORKER_COUNTS.length - 1;
        report.add(
                new Figure(
                        name() + ".slope",
                        (microsPerDecision[lastIndex] - microsPerDecision[0])
                                / (WORKER_COUNTS[lastIndex] - WORKER_COUNTS[0])
                                * 1_000,
                        "us/decision/1000 workers",
                        null,
                        null,
                        "seed " + SEED + ", 500 to 4,000 workers"));
        reportHeap(report);
    }

    /**
     * Measures the throughput and reports it.
     *
     * @param workers number of VMs
     * @param loadFactor ratio of submitted tasks to those that the fleet size calls for
     * @return microseconds for each decision
     */
    private double measure(int workers, double loadFactor, BenchmarkReport report) {
        int tasks = (int) (taskCount(workers) * loadFactor);
        SteadyChurn churn = new SteadyChurn(SEED, workers);
        churn.fill(tasks);
        churn.addBacklog();
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            churn.runRound(TASKS_PER_ROUND);
        }
        churn.resetTiming();
        for (int i = 0; i < MEASURED_ROUNDS; i++) {
            churn.runRound(TASKS_PER_ROUND);
        }
        double decisionsPerSecond = churn.decisionsPerSecond();
        report.add(
                new Figure(
                        loadFactor > 1 ? name() + ".saturated" : name(),
                        decisionsPerSecond,
                        "decisions/s",
                        workers == FleetModel.TARGET_WORKERS ? ">= 12000" : null,
                        null,
                        describeInput(workers, churn.runningTasks())
                                + ", "
                                + tasks
                                + " submitted"));
        return 1e6 / decisionsPerSecond;
    }

    /** Returns the number of tasks for a fleet size, in the proportion of the target size. */
    static int taskCount(int workers) {
        return (int) ((long) FleetModel.TARGET_TASKS * workers / FleetModel.TARGET_WORKERS);
    }

    /** Returns the description of the input for the report. */
    static String describeInput(int workers, int runningTasks) {
        return "seed " + SEED + ", " + workers + " workers, " + runningTasks + " running tasks";
    }

    /** Measures the heap for each VM and each running task. */
    private void reportHeap(BenchmarkReport report) {
        int workers = FleetModel.TARGET_WORKERS;
        long heapBefore = usedHeapBytes();
        SteadyChurn churn = new SteadyChurn(SEED, workers);
        long heapWithVms = usedHeapBytes();
        churn.fill(taskCount(workers));
        long heapWithTasks = usedHeapBytes();
        String input = describeInput(workers, churn.runningTasks());
        report.add(
                new Figure(
                        "placement.heap.vm",
                        (double) (heapWithVms - heapBefore) / workers,
                        "B",
                        null,
                        null,
                        input));
        report.add(
                new Figure(
                        "placement.heap.task",
                        (double) (heapWithTasks - heapWithVms) / churn.runningTasks(),
                        "B",
                        null,
                        null,
                        input));
    }

    /** Returns the used heap after garbage collection. */
    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
