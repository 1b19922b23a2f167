package org.knapweedbank.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs every cell of the fault matrix and checks the invariants. */
class FaultMatrixTest {
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
        List<String> failures =
                FaultMatrix.cells(domain, step).parallelStream()
                        .flatMap(cell -> cell.failures().stream())
                        .toList();
        assertWithMessage("%s", String.join("\n", failures)).that(failures).isEmpty();
    }
}
