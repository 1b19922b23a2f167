package org.knapweedbank.faults;

import java.util.List;
import java.util.Optional;

/**
 * A part of the system whose steps and faults are tested together: its steps, its mutants and a way
 * to run a cell.
 */
public interface FaultDomain {
    /** Returns the name of the domain in reports. */
    String name();

    /** Returns the names of the steps at which a fault can be injected. */
    List<String> steps();

    /**
     * Returns the names of the defects that can be built into a run, each of which has to break an
     * invariant.
     */
    List<String> mutants();

    /** Returns why a fault cannot occur at a step, or empty if it can occur. */
    Optional<String> impossibilityReason(String step, Fault fault);

    /**
     * Runs one cell.
     *
     * @param step name of the step at which the faults are injected
     * @param faults the faults to inject, in this order
     * @param seed seed of the random choices of the cell
     * @param mutant name of the mutant to run with, or empty to run the unchanged classes
     */
    CellOutcome run(String step, List<Fault> faults, long seed, String mutant);
}
