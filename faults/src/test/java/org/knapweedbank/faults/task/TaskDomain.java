package org.knapweedbank.faults.task;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.FaultDomain;

/**
 * Tests the start, completion, checkpoint, resumption and cancellation of tasks, the takeover of
 * their partition, and data centres that are taken out of service.
 */
public final class TaskDomain implements FaultDomain {
    @Override
    public String name() {
        return "task";
    }

    @Override
    public List<String> steps() {
        return Stream.of(TaskStep.values()).map(Enum::name).toList();
    }

    @Override
    public List<String> mutants() {
        return Stream.of(TaskMutant.values()).map(Enum::name).toList();
    }

    @Override
    public Optional<String> impossibilityReason(String step, Fault fault) {
        return Optional.empty();
    }

    @Override
    public CellOutcome run(String step, List<Fault> faults, long seed, String mutant) {
        TaskMutant selected = mutant.isEmpty() ? null : TaskMutant.valueOf(mutant);
        return new TaskCellRun(TaskStep.valueOf(step), faults, seed, selected).run();
    }
}
