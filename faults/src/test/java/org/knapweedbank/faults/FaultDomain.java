package org.knapweedbank.faults;

import java.util.List;
import java.util.Optional;

/** The cells of one subject: its steps, its mutants, and a way to run a cell. */
public interface FaultDomain {
    String name();

    List<String> steps();

    List<String> mutants();

    /** Why a fault cannot occur at a step, or empty if it can. */
    Optional<String> impossibilityReason(String step, Fault fault);

    /** Runs a cell; an empty mutant stands for the unaltered classes. */
    CellOutcome run(String step, List<Fault> faults, long seed, String mutant);
}
