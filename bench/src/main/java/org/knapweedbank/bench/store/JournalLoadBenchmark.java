package org.knapweedbank.bench.store;

import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/**
 * Measures the load of journals and idempotency key claims on the key-value service at the target
 * size. The service is assumed to handle 400 writes and 2,000 reads a second, of which less than
 * half may be used. The claims are made by one entry and by eight entries. With eight, the write
 * windows grow with the number of entries or, as a baseline, do not.
 */
public final class JournalLoadBenchmark implements Benchmark {
    private static final String NAME = "journal.load";
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double P99_PERCENTILE = 99;

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void run(BenchmarkReport report) {
        measure(report, NAME, LoadSettings.target(1, true), null);
        measure(report, NAME + ".entries8", LoadSettings.target(8, true), null);
        String baseline = "windows that do not grow with the number of entries";
        measure(report, NAME + ".entries8", LoadSettings.target(8, false), baseline);
    }

    /** Runs the load with the given settings and reports its figures under the given name. */
    private static void measure(
            BenchmarkReport report, String name, LoadSettings settings, String baseline) {
        LoadResult result = new LoadRun(settings).run();
        String input = settings.describe();
        add(report, name + ".writes", result.writesPerSecond(), "1/s", "< 200", baseline, input);
        add(report, name + ".reads", result.readsPerSecond(), "1/s", "< 1000", baseline, input);
        add(
                report,
                name + ".bytes.written",
                result.bytesWrittenPerSecond(),
                "B/s",
                null,
                baseline,
                input);
        add(
                report,
                name + ".value.max",
                result.largestValueBytes(),
                "B",
                "< 1000000",
                baseline,
                input);
        add(report, name + ".failures", result.failures(), "1", "0", baseline, input);
        double commitMedian = result.commitMillis().getValueAtPercentile(MEDIAN_PERCENTILE);
        double commitP99 = result.commitMillis().getValueAtPercentile(P99_PERCENTILE);
        double claimMedian = result.claimMillis().getValueAtPercentile(MEDIAN_PERCENTILE);
        double claimP99 = result.claimMillis().getValueAtPercentile(P99_PERCENTILE);
        add(report, name + ".commit.median", commitMedian, "ms", null, baseline, input);
        add(report, name + ".commit.p99", commitP99, "ms", null, baseline, input);
        add(report, name + ".claim.median", claimMedian, "ms", null, baseline, input);
        add(report, name + ".claim.p99", claimP99, "ms", null, baseline, input);
        add(report, name + ".processor", result.cpuCores(), "cores", null, baseline, input);
    }

    private static void add(
            BenchmarkReport report,
            String figure,
            double value,
            String unit,
            String target,
            String baseline,
            String input) {
        report.add(new Figure(figure, value, unit, target, baseline, input));
    }
}
