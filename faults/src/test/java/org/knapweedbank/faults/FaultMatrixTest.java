package org.knapweedbank.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedbank.faults.task.TaskDomain;
import org.knapweedbank.faults.task.TaskStep;

/** Runs every cell of the fault matrix and checks the invariants. */
class FaultMatrixTest {
    /** Cells of entry 7 of KNOWN-RED.txt. */
    private static final Set<String> KNOWN_RED_CELLS =
            Set.of(
                    "--step FINISH_AFTER_MOVE --fault PROCESS_KILLED --seed 1",
                    "--step FINISH_AFTER_MOVE --fault PROCESS_KILLED --seed 2");

    /** Returns the steps of all domains. */
    static Stream<Arguments> steps() {
        return FaultMatrix.domains().stream()
                .flatMap(
                        domain ->
                                domain.steps().stream()
                                        .map(step -> Arguments.of(domain.name(), step, domain)));
    }

    /**
     * Guards against a fault that breaks an invariant of the design page when it occurs at some
     * step.
     */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("steps")
    void invariantsHold(String domainName, String step, FaultDomain domain) {
        assertInvariantsHold(domain, step, cell -> !isKnownRed(cell));
    }

    /**
     * Guards against a restarted agent that accepts a former owner and discards an end of a task
     * that only the present owner would have committed.
     */
    @Tag("known-red")
    @Test
    void restartedAgentKeepsFinishForPresentOwner() {
        assertInvariantsHold(
                new TaskDomain(), TaskStep.FINISH_AFTER_MOVE.name(), FaultMatrixTest::isKnownRed);
    }

    /** Runs the selected cells of a step and fails if one of them fails. */
    private static void assertInvariantsHold(
            FaultDomain domain, String step, Predicate<FaultMatrix.Cell> selected) {
        List<String> failures =
                FaultMatrix.cells(domain, step).parallelStream()
                        .filter(selected)
                        .flatMap(cell -> cell.failures().stream())
                        .toList();
        assertWithMessage("%s", String.join("\n", failures)).that(failures).isEmpty();
    }

    /** Returns whether a cell is listed in KNOWN-RED.txt. */
    private static boolean isKnownRed(FaultMatrix.Cell cell) {
        return KNOWN_RED_CELLS.contains(cell.toString());
    }
}
