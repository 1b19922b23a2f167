package org.knapweedbank.bench.scheduling;

import org.HdrHistogram.Histogram;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/** Time of a single decision in steady churn, by number of workers. */
public final class PlacementLatency implements Benchmark {
    private static final int WARM_DECISIONS = 100_000;
    private static final int DECISIONS = 200_000;
    private static final double P99 = 99;

    @Override
    public String name() {
        return "placement.p99";
    }

    @Override
    public void run(BenchmarkReport report) {
        for (int workers : PlacementThroughput.WORKERS) {
            SteadyChurn churn = new SteadyChurn(PlacementThroughput.SEED, workers);
            churn.fill(PlacementThroughput.tasks(workers));
            churn.addBacklog();
            Histogram nanos = new Histogram(3);
            for (int i = 0; i < WARM_DECISIONS; i++) {
                churn.single(nanos);
            }
            nanos.reset();
            for (int i = 0; i < DECISIONS; i++) {
                churn.single(nanos);
            }
            String input = PlacementThroughput.input(workers, churn.running());
            add(report, name(), nanos.getValueAtPercentile(P99), "< 2000", input);
            add(report, "placement.p50", nanos.getValueAtPercentile(50), null, input);
            add(report, "placement.max", nanos.getMaxValue(), null, input);
        }
    }

    private static void add(
            BenchmarkReport report, String name, long nanos, String target, String input) {
        report.add(new Figure(name, nanos / 1e3, "us", target, null, input));
    }
}
