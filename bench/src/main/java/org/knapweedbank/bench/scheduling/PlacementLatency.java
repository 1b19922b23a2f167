package org.knapweedbank.bench.scheduling;

import org.HdrHistogram.Histogram;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/** Measures the time of a single scheduling decision under constant load, by number of workers. */
public final class PlacementLatency implements Benchmark {
    private static final int WARM_UP_DECISIONS = 100_000;
    private static final int MEASURED_DECISIONS = 200_000;
    private static final double P99_PERCENTILE = 99;

    @Override
    public String name() {
        return "placement.p99";
    }

    @Override
    public void run(BenchmarkReport report) {
        for (int workers : PlacementThroughput.WORKER_COUNTS) {
            SteadyChurn churn = new SteadyChurn(PlacementThroughput.SEED, workers);
            churn.fill(PlacementThroughput.taskCount(workers));
            churn.addBacklog();
            Histogram latencyNanos = new Histogram(3);
            for (int i = 0; i < WARM_UP_DECISIONS; i++) {
                churn.timeSingleDecision(latencyNanos);
            }
            latencyNanos.reset();
            for (int i = 0; i < MEASURED_DECISIONS; i++) {
                churn.timeSingleDecision(latencyNanos);
            }
            String input = PlacementThroughput.describeInput(workers, churn.runningTasks());
            add(report, name(), latencyNanos.getValueAtPercentile(P99_PERCENTILE), "< 2000", input);
            add(report, "placement.p50", latencyNanos.getValueAtPercentile(50), null, input);
            add(report, "placement.max", latencyNanos.getMaxValue(), null, input);
        }
    }

    private static void add(
            BenchmarkReport report, String name, long latencyNanos, String target, String input) {
        report.add(new Figure(name, latencyNanos / 1e3, "us", target, null, input));
    }
}
