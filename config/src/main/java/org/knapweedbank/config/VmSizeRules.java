package org.knapweedbank.config;

import java.util.stream.Stream;

/** Rules for VM sizes. */
final class VmSizeRules {
    private VmSizeRules() {}

    /** Finds sizes on which no task fits that requests CPU and memory. */
    static Stream<Finding> emptySizes(RuleContext context) {
        return context.vmSizes().entrySet().stream()
                .filter(size -> size.getValue().milliCpu() == 0 || size.getValue().memoryMb() == 0)
                .map(
                        size ->
                                context.noMatch(
                                        JsonPaths.entry("vmSizes", size.getKey()),
                                        "a size without CPU or without memory fits no task that"
                                                + " requests both"));
    }
}
