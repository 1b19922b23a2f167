package org.knapweedbank.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knapweedbank.model.Resources;

/** Text of resources for sentences to operators. */
final class Amounts {
    private static final double MILLI = 1_000;

    private Amounts() {}

    /** Text such as {@code 2 cores, 512 MiB and 1 accelerator}. */
    static String text(Resources amount) {
        return cores(amount.milliCpu())
                + ", "
                + amount.memoryMb()
                + " MiB and "
                + accelerators(amount.accelerators());
    }

    /** What an amount lacks against an offer, component by component. */
    static String excess(Resources need, Resources offer) {
        List<String> parts = new ArrayList<>();
        if (need.milliCpu() > offer.milliCpu()) {
            parts.add(cores(need.milliCpu()) + " against " + cores(offer.milliCpu()));
        }
        if (need.memoryMb() > offer.memoryMb()) {
            parts.add(need.memoryMb() + " MiB against " + offer.memoryMb() + " MiB");
        }
        if (need.accelerators() > offer.accelerators()) {
            parts.add(accelerators(need.accelerators()) + " against " + offer.accelerators());
        }
        return String.join(", ", parts);
    }

    private static String cores(long milliCpu) {
        return milliCpu % 1_000 == 0
                ? milliCpu / 1_000 + " cores"
                : String.format(Locale.ROOT, "%.3f cores", milliCpu / MILLI);
    }

    private static String accelerators(int count) {
        return count == 1 ? "1 accelerator" : count + " accelerators";
    }
}
