package org.knapweedbank.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.knapweedbank.faults.configuration.ConfigurationDomain;
import org.knapweedbank.faults.membership.MembershipDomain;
import org.knapweedbank.faults.request.RequestDomain;
import org.knapweedbank.faults.task.TaskDomain;

/** Lists the cells of the fault matrix and searches for cells that detect a mutant. */
public final class FaultMatrix {
    /** Number of runs, each with its own seed, of each step and single fault. */
    public static final int SEEDS_PER_FAULT = 2;

    /** Number of randomly drawn pairs of faults that each step runs with. */
    public static final int PAIRS_PER_STEP = 8;

    /** Number of seeds that are tried before a mutant counts as undetected. */
    private static final int MAX_SEEDS_PER_MUTANT = 24;

    private FaultMatrix() {}

    /**
     * One run of the matrix.
     *
     * @param domain domain that the step belongs to
     * @param step name of the step at which the faults are injected
     * @param faults a single fault, or the two faults of a pair
     * @param seed seed of the random choices of the run
     */
    public record Cell(FaultDomain domain, String step, List<Fault> faults, long seed) {
        /**
         * Runs the cell and describes up to two violations, or the fact that the step was not
         * reached. Returns an empty list if the cell passes.
         */
        public List<String> failures() {
            CellOutcome outcome = domain.run(step, faults, seed, "");
            if (!outcome.stepReached()) {
                return List.of(this + ": the step did not occur");
            }
            return outcome.violations().stream()
                    .limit(2)
                    .map(
                            violation ->
                                    this
                                            + ": invariant "
                                            + violation.invariant()
                                            + " broken: "
                                            + violation.detail())
                    .toList();
        }

        /** Formats the cell as the options with which {@code bin/faults} reruns it. */
        @Override
        public String toString() {
            List<String> names = faults.stream().map(Fault::name).toList();
            return "--step " + step + " --fault " + String.join("+", names) + " --seed " + seed;
        }
    }

    /** Returns the domains of the matrix in the order of the report. */
    public static List<FaultDomain> domains() {
        return List.of(
                new TaskDomain(),
                new RequestDomain(),
                new ConfigurationDomain(),
                new MembershipDomain());
    }

    /**
     * Returns the cells of a step: each possible single fault, and a fixed random sample of pairs.
     */
    public static List<Cell> cells(FaultDomain domain, String step) {
        List<Fault> possible =
                Stream.of(Fault.values())
                        .filter(fault -> domain.impossibilityReason(step, fault).isEmpty())
                        .toList();
        List<Cell> cells = new ArrayList<>();
        for (Fault fault : possible) {
            LongStream.rangeClosed(1, SEEDS_PER_FAULT)
                    .forEach(seed -> cells.add(new Cell(domain, step, List.of(fault), seed)));
        }
        Random random = new Random(step.hashCode());
        for (int i = 0; i < PAIRS_PER_STEP; i++) {
            Fault first = possible.get(random.nextInt(possible.size()));
            Fault second = possible.get(random.nextInt(possible.size()));
            cells.add(new Cell(domain, step, List.of(first, second), 100 + i));
        }
        return cells;
    }

    /**
     * Returns the first cell, in the order of seeds and steps, that detects a mutant, with the
     * violated invariant, or empty if no cell does.
     */
    public static Optional<String> findDetectingCell(FaultDomain domain, String mutant) {
        return LongStream.rangeClosed(1, MAX_SEEDS_PER_MUTANT)
                .boxed()
                .flatMap(
                        seed ->
                                domain.steps().parallelStream()
                                        .flatMap(step -> detectingCells(domain, mutant, step, seed))
                                        .toList()
                                        .stream())
                .findFirst();
    }

    /** Returns the cells of a step that fail with the mutant and pass without it. */
    private static Stream<String> detectingCells(
            FaultDomain domain, String mutant, String step, long seed) {
        return IntStream.range(0, Fault.values().length)
                .mapToObj(i -> Fault.values()[i])
                .filter(fault -> domain.impossibilityReason(step, fault).isEmpty())
                .flatMap(
                        fault -> {
                            Cell cell = new Cell(domain, step, List.of(fault), seed);
                            CellOutcome mutantOutcome =
                                    domain.run(step, List.of(fault), seed, mutant);
                            boolean detected =
                                    !mutantOutcome.violations().isEmpty()
                                            && cell.failures().isEmpty();
                            return mutantOutcome.violations().stream()
                                    .limit(detected ? 1 : 0)
                                    .map(
                                            violation ->
                                                    cell + ", invariant " + violation.invariant());
                        });
    }
}
