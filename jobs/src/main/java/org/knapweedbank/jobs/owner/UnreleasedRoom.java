package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.model.Resources;

/**
 * Tells which full VMs would have room for a task without their unreleased runs. An order counts
 * only once its answer is overdue, as some are always under way on a busy service.
 */
final class UnreleasedRoom {
    private final Map<Vm, VmRuns> mRunsByVm;

    private UnreleasedRoom(Map<Vm, VmRuns> runsByVm) {
        mRunsByVm = runsByVm;
    }

    /** Collects the unreleased runs of VMs. */
    static UnreleasedRoom of(Collection<Vm> vms, long now) {
        return new UnreleasedRoom(
                vms.stream()
                        .map(vm -> VmRuns.of(vm, now))
                        .filter(runs -> !runs.all().isEmpty())
                        .collect(Collectors.toMap(VmRuns::vm, Function.identity())));
    }

    /** Returns the runs without which a VM would have room for a task; empty if it would not. */
    Optional<UnreleasedRuns> findRunsInTheWay(Task task, Vm vm) {
        VmRuns runs = mRunsByVm.get(vm);
        if (runs == null || !fitsWithout(runs.all(), task, vm)) {
            return Optional.empty();
        }
        boolean stoppingSuffice = fitsWithout(runs.stopping(), task, vm);
        boolean unlistedNeeded = fitsWithout(runs.unlisted(), task, vm) || !stoppingSuffice;
        return Optional.of(
                unlistedNeeded ? UnreleasedRuns.UNLISTED_RUNS : UnreleasedRuns.STOPPING_RUNS);
    }

    private static boolean fitsWithout(List<Run> runs, Task task, Vm vm) {
        Step step = task.mStep;
        long ofStep = runs.stream().filter(run -> run.mTask.mStep == step).count();
        Resources reserved =
                runs.stream()
                        .map(run -> run.mTask.mStep.mSpec.reservation())
                        .reduce(Resources.NONE, Resources::plus);
        return VmSelector.allowedByRule(step, vm, vm.countRuns(step) - ofStep)
                && step.mSpec.reservation().fitsIn(vm.unreserved().plus(reserved));
    }

    /** Unreleased runs of one VM. */
    private record VmRuns(Vm vm, List<Run> unlisted, List<Run> stopping) {
        static VmRuns of(Vm vm, long now) {
            List<Run> unlisted = new ArrayList<>();
            List<Run> stopping = new ArrayList<>();
            for (Run run : vm.mRuns.values()) {
                if (run.startUnanswered(now) || run.absentFromLists()) {
                    unlisted.add(run);
                } else if (run.stopUnanswered(now)) {
                    stopping.add(run);
                }
            }
            return new VmRuns(vm, unlisted, stopping);
        }

        List<Run> all() {
            return Stream.concat(unlisted.stream(), stopping.stream()).toList();
        }
    }
}
