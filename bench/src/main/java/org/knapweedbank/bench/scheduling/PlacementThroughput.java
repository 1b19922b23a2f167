package org.knapweedbank.bench.scheduling;

import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/** Decisions in each second of one core, and heap for each VM and task, by number of workers. */
public final class PlacementThroughput implements Benchmark {
    static final long SEED = 20261204;
    static final int[] WORKERS = {500, 1_000, FleetModel.TARGET_WORKERS, 4_000};

    /** Starts in 50 ms at 1,200 a second. */
    private static final int ROUND = 60;

    /** Submitted tasks against those of the target size, for a fleet that is full. */
    private static final double OVERLOAD = 1.8;

    private static final int WARM_ROUNDS = 1_000;
    private static final int ROUNDS = 2_000;

    @Override
    public String name() {
        return "placement.throughput";
    }

    @Override
    public void run(BenchmarkReport report) {
        double[] micros = new double[WORKERS.length];
        for (int i = 0; i < WORKERS.length; i++) {
            micros[i] = measure(WORKERS[i], 1, report);
        }
        measure(FleetModel.TARGET_WORKERS, OVERLOAD, report);
        int last = WORKERS.length - 1;
        report.add(
                new Figure(
                        name() + ".slope",
                        (micros[last] - micros[0]) / (WORKERS[last] - WORKERS[0]) * 1_000,
                        "us/decision/1000 workers",
                        null,
                        null,
                        "seed " + SEED + ", 500 to 4,000 workers"));
        reportHeap(report);
    }

    private double measure(int workers, double load, BenchmarkReport report) {
        int tasks = (int) (tasks(workers) * load);
        SteadyChurn churn = new SteadyChurn(SEED, workers);
        churn.fill(tasks);
        churn.addBacklog();
        for (int i = 0; i < WARM_ROUNDS; i++) {
            churn.round(ROUND);
        }
        churn.resetTiming();
        for (int i = 0; i < ROUNDS; i++) {
            churn.round(ROUND);
        }
        double rate = churn.decisionsPerSecond();
        report.add(
                new Figure(
                        load > 1 ? name() + ".saturated" : name(),
                        rate,
                        "decisions/s",
                        workers == FleetModel.TARGET_WORKERS ? ">= 12000" : null,
                        null,
                        input(workers, churn.running()) + ", " + tasks + " submitted"));
        return 1e6 / rate;
    }

    static int tasks(int workers) {
        return (int) ((long) FleetModel.TARGET_TASKS * workers / FleetModel.TARGET_WORKERS);
    }

    static String input(int workers, int running) {
        return "seed " + SEED + ", " + workers + " workers, " + running + " running tasks";
    }

    private void reportHeap(BenchmarkReport report) {
        int workers = FleetModel.TARGET_WORKERS;
        long empty = usedHeap();
        SteadyChurn churn = new SteadyChurn(SEED, workers);
        long withVms = usedHeap();
        churn.fill(tasks(workers));
        long withTasks = usedHeap();
        String input = input(workers, churn.running());
        report.add(
                new Figure(
                        "placement.heap.vm",
                        (double) (withVms - empty) / workers,
                        "B",
                        null,
                        null,
                        input));
        report.add(
                new Figure(
                        "placement.heap.task",
                        (double) (withTasks - withVms) / churn.running(),
                        "B",
                        null,
                        null,
                        input));
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
