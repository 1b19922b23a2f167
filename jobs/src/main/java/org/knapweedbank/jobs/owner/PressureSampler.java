package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.TailLatency;

/** Samples how busy serving tasks are and what fillers use, from the lists of the VMs. */
final class PressureSampler {
    private final OwnerState mState;

    PressureSampler(OwnerState state) {
        mState = state;
    }

    /** Updates the pressure estimates from the utilization and processor use that a VM reports. */
    void observe(Vm vm, List<RunStatus> running) {
        Map<String, Double> utilization = new HashMap<>();
        Map<String, Double> use = new HashMap<>();
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        for (RunStatus listedRun : running) {
            Task task = mState.findTask(listedRun.task());
            if (task == null) {
                continue;
            }
            var spec = task.mStep.mSpec;
            if (spec.serving() && listedRun.percent() == RunStatus.READY_PERCENT) {
                double relativeLatency =
                        (double) listedRun.measuredValue() / spec.latencyObjective().toMillis();
                utilization.put(
                        listedRun.task().toString(), TailLatency.utilization(relativeLatency));
            } else if (spec.traits().filler()) {
                use.merge(spec.image(), listedRun.measuredValue() / capacity, Double::sum);
            }
        }
        PressureEstimator.Sample sample = new PressureEstimator.Sample(utilization, use);
        if (vm.sample() != null) {
            mState.mPressureEstimator.observe(vm.sample(), sample);
        }
        vm.setSample(sample);
    }
}
