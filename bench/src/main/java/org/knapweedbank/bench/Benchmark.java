package org.knapweedbank.bench;

/** Measures one property of the system and reports it against its target. */
public interface Benchmark {
    /**
     * Returns the name by which {@code bin/bench} selects the benchmark, such as {@code
     * placement.throughput}.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the benchmark and reports its figures.
     *
     * @param report receives the figures
     * @throws Exception when the benchmark cannot run
     */
    void run(BenchmarkReport report) throws Exception;
}
