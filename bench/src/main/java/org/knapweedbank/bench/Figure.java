package org.knapweedbank.bench;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One measured figure.
 *
 * @param name name, starting with that of the benchmark
 * @param value measured value
 * @param unit unit of the value
 * @param target stated target, such as {@code < 2}, or null
 * @param baseline name of the baseline that this figure belongs to, or null for the product's own
 * @param input seed and size of the input
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Figure(
        String name, double value, String unit, String target, String baseline, String input) {}
