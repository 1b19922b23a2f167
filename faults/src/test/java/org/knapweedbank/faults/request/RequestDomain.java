package org.knapweedbank.faults.request;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.FaultDomain;

/** Tests requests, streams, claims of idempotency keys, and upstreams and agents that leave. */
public final class RequestDomain implements FaultDomain {
    @Override
    public String name() {
        return "request";
    }

    @Override
    public List<String> steps() {
        return Stream.of(RequestStep.values()).map(Enum::name).toList();
    }

    @Override
    public List<String> mutants() {
        return Stream.of(RequestMutant.values()).map(Enum::name).toList();
    }

    @Override
    public Optional<String> impossibilityReason(String step, Fault fault) {
        return fault == Fault.OPERATORS_RACE
                ? Optional.of("A request changes nothing that an operator changes.")
                : Optional.empty();
    }

    @Override
    public CellOutcome run(String step, List<Fault> faults, long seed, String mutant) {
        RequestMutant selected = mutant.isEmpty() ? null : RequestMutant.valueOf(mutant);
        return new RequestCellRun(RequestStep.valueOf(step), faults, seed, selected).run();
    }
}
