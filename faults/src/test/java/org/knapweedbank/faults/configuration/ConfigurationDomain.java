package org.knapweedbank.faults.configuration;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.FaultDomain;

/** Tests changes of the configuration, from the operator through the entries to the agents. */
public final class ConfigurationDomain implements FaultDomain {
    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<String> steps() {
        return Stream.of(ConfigurationStep.values()).map(Enum::name).toList();
    }

    @Override
    public List<String> mutants() {
        return Stream.of(ConfigurationMutant.values()).map(Enum::name).toList();
    }

    @Override
    public Optional<String> impossibilityReason(String step, Fault fault) {
        return switch (fault) {
            case WORKER_FAILS_EVERYTHING ->
                    Optional.of("A worker's tasks take no part in a change of the configuration.");
            case CANCELLATION -> Optional.of("A change of the configuration cannot be cancelled.");
            default -> Optional.empty();
        };
    }

    @Override
    public CellOutcome run(String step, List<Fault> faults, long seed, String mutant) {
        ConfigurationMutant selected =
                mutant.isEmpty() ? null : ConfigurationMutant.valueOf(mutant);
        return new ConfigurationCellRun(ConfigurationStep.valueOf(step), faults, seed, selected)
                .run();
    }
}
