package org.knapweedbank.faults.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.FaultDomain;

/**
 * Tests announcements of upstreams, from the agent through the owner of its partition to each
 * entry.
 */
public final class MembershipDomain implements FaultDomain {
    /** Faults of the key-value service, which announcements do not use. */
    private static final Set<Fault> STORE_FAULTS =
            Set.of(Fault.STORE_DOWN, Fault.STORE_SLOW, Fault.ANSWER_LOST);

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public List<String> steps() {
        return Stream.of(MembershipStep.values()).map(Enum::name).toList();
    }

    @Override
    public List<String> mutants() {
        return Stream.of(MembershipMutant.values()).map(Enum::name).toList();
    }

    @Override
    public Optional<String> impossibilityReason(String step, Fault fault) {
        if (STORE_FAULTS.contains(fault)) {
            return Optional.of("Announcements do not go through the key-value service.");
        }
        return switch (fault) {
            case OPERATORS_RACE -> Optional.of("An operator changes no announcement.");
            case CANCELLATION -> Optional.of("An announcement cannot be cancelled.");
            default -> Optional.empty();
        };
    }

    @Override
    public CellOutcome run(String step, List<Fault> faults, long seed, String mutant) {
        MembershipMutant selected = mutant.isEmpty() ? null : MembershipMutant.valueOf(mutant);
        return new MembershipCellRun(MembershipStep.valueOf(step), faults, seed, selected).run();
    }
}
