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

/** All cells of the matrix. */
public final class FaultMatrix {
    /** Runs of each pair of step and fault. */
    public static final int SEEDS_PER_FAULT = 2;

    /** Pairs of faults drawn for each step. */
    public static final int PAIRS_PER_STEP = 8;

    private static final int MAX_SEEDS_PER_MUTANT = 24;

    private FaultMatrix() {}

    /** One run: a step, one fault or a pair, and a seed. */
    public record Cell(FaultDomain domain, String step, List<Fault> faults, long seed) {
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

        @Override
        public String toString() {
            List<String> names = faults.stream().map(Fault::name).toList();
            return "--step " + step + " --fault " + String.join("+", names) + " --seed " + seed;
        }
    }

    public static List<FaultDomain> domains() {
        return List.of(
                new TaskDomain(),
                new RequestDomain(),
                new ConfigurationDomain(),
                new MembershipDomain());
    }

    /** The cells of a step: each single fault, and a sample of pairs. */
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

    /** The first cell, in order of seeds, that catches a mutant. */
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
