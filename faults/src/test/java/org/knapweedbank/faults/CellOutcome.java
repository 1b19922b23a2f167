package org.knapweedbank.faults;

import java.util.List;

/**
 * Holds the result of running one cell of the fault matrix.
 *
 * @param stepReached whether the step at which the faults are injected was reached
 * @param simulation the simulation of the cell, with its trace and recorded violations
 */
public record CellOutcome(boolean stepReached, Simulation simulation) {
    /** Returns the invariant violations of the run, in the order in which they were recorded. */
    public List<Simulation.Violation> violations() {
        return simulation.violations();
    }

    /** Returns the formatted lines of the trace. */
    public List<String> trace() {
        return simulation.traceLines();
    }
}
