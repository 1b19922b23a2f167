package org.knapweedbank.faults;

import java.util.List;

/** Result of one cell: whether its step occurred, what was broken, and the trace. */
public record CellOutcome(boolean stepReached, Simulation simulation) {
    public List<Simulation.Violation> violations() {
        return simulation.violations();
    }

    public List<String> trace() {
        return simulation.traceLines();
    }
}
