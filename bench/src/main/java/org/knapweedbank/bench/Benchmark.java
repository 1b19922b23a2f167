package org.knapweedbank.bench;

/** A program that measures one property and reports it against its target. */
public interface Benchmark {
    /**
     * Name by which {@code bin/bench} selects the benchmark, such as {@code placement.throughput}.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the benchmark.
     *
     * @param report receives the figures
     * @throws Exception when the benchmark cannot run
     */
    void run(BenchmarkReport report) throws Exception;
}
