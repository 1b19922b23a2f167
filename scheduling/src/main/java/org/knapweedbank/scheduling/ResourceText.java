package org.knapweedbank.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knapweedbank.model.Resources;

/** Formats resources for messages to operators. */
final class ResourceText {
    private static final double MILLICORES_PER_CORE = 1_000;

    private ResourceText() {}

    /** Formats resources, for example as {@code 2 cores, 512 MiB and 1 accelerator}. */
    static String format(Resources amount) {
        return formatCores(amount.milliCpu())
                + ", "
                + amount.memoryMb()
                + " MiB and "
                + formatAccelerators(amount.accelerators());
    }

    /**
     * Formats the components of a request that exceed the offered resources, for example as {@code
     * 8 cores against 4 cores}. Returns an empty string if none does.
     */
    static String formatExcess(Resources need, Resources offer) {
        List<String> parts = new ArrayList<>();
        if (need.milliCpu() > offer.milliCpu()) {
            parts.add(formatCores(need.milliCpu()) + " against " + formatCores(offer.milliCpu()));
        }
        if (need.memoryMb() > offer.memoryMb()) {
            parts.add(need.memoryMb() + " MiB against " + offer.memoryMb() + " MiB");
        }
        if (need.accelerators() > offer.accelerators()) {
            parts.add(formatAccelerators(need.accelerators()) + " against " + offer.accelerators());
        }
        return String.join(", ", parts);
    }

    private static String formatCores(long milliCpu) {
        return milliCpu % 1_000 == 0
                ? milliCpu / 1_000 + " cores"
                : String.format(Locale.ROOT, "%.3f cores", milliCpu / MILLICORES_PER_CORE);
    }

    private static String formatAccelerators(int count) {
        return count == 1 ? "1 accelerator" : count + " accelerators";
    }
}
