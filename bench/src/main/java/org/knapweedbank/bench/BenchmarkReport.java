package org.knapweedbank.bench;

/** Receives the figures of a benchmark. */
public interface BenchmarkReport {
    /**
     * Reports a figure that has a target or serves as a record.
     *
     * @param figure the figure
     */
    void add(Figure figure);
}
