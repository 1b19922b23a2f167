package org.knapweedbank.bench;

/** Receives the figures of a benchmark. */
public interface BenchmarkReport {
    /**
     * Adds a measured figure to the report.
     *
     * @param figure the figure
     */
    void add(Figure figure);
}
