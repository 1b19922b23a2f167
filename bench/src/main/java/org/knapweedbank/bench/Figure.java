package org.knapweedbank.bench;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One measured value of a benchmark.
 *
 * @param name name of the figure, starting with that of the benchmark
 * @param value measured value
 * @param unit unit of the value
 * @param target required value, such as {@code < 2}, or null if there is none
 * @param baseline name of the baseline that was measured, or null for the system itself
 * @param input seed and size of the input
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Figure(
        String name, double value, String unit, String target, String baseline, String input) {}
