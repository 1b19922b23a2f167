package org.knapweedbank.config;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.Resources;

/**
 * Sum of resources of many tasks. The accelerators are a long, since the sum over all tasks of a
 * site can exceed an int.
 */
record Amounts(long milliCpu, long memoryMb, long accelerators) {
    static final Amounts NONE = new Amounts(0, 0, 0);

    static Amounts of(Resources resources, int tasks) {
        return new Amounts(
                resources.milliCpu() * tasks,
                resources.memoryMb() * tasks,
                (long) resources.accelerators() * tasks);
    }

    Amounts plus(Amounts other) {
        return new Amounts(
                milliCpu + other.milliCpu,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Describes the components that exceed a limit, such as {@code milliCpu 9000 over 8000}; empty
     * if none does.
     */
    String describeExcess(Resources limit) {
        List<String> parts = new ArrayList<>();
        addExcess(parts, "milliCpu", milliCpu, limit.milliCpu());
        addExcess(parts, "memoryMb", memoryMb, limit.memoryMb());
        addExcess(parts, "accelerators", accelerators, limit.accelerators());
        return String.join(", ", parts);
    }

    private static void addExcess(List<String> parts, String name, long amount, long limit) {
        if (amount > limit) {
            parts.add(name + " " + amount + " over " + limit);
        }
    }
}
