package org.knapweedbank.scheduling.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.placement.TaskAllocation;
import org.knapweedbank.time.Clock;

/** Controls interference on all VMs whose services report latencies. */
public final class InterferenceController {
    private final Clock mClock;
    private final InterferencePenalties mPenalties;
    private final Map<VmId, VmInterferenceController> mControllers = new HashMap<>();
    private final Map<VmId, VmInterferenceController> mWithNewSamples = new LinkedHashMap<>();

    /**
     * Creates a controller without samples.
     *
     * @param clock source of time
     * @param penalties penalties of pairs of task classes, updated with each sample
     */
    public InterferenceController(Clock clock, InterferencePenalties penalties) {
        mClock = clock;
        mPenalties = penalties;
    }

    /**
     * Adds a latency sample of a service.
     *
     * @param service allocation of the service task
     * @param sample the sample
     */
    public void addSample(TaskAllocation service, UsageObservation sample) {
        VmId vm = service.vm().id();
        VmInterferenceController controller = mControllers.get(vm);
        if (controller == null || controller.vm() != service.vm()) {
            controller = new VmInterferenceController(service.vm(), mPenalties);
            mControllers.put(vm, controller);
        }
        controller.addSample(service, sample, mClock.monotonicNanos());
        mWithNewSamples.put(vm, controller);
    }

    /**
     * Returns whether a batch task is throttled, in which case its measured usage does not show
     * what it needs.
     *
     * @param batch allocation of the batch task
     * @return true if throttled
     */
    public boolean isThrottled(TaskAllocation batch) {
        VmInterferenceController controller = mControllers.get(batch.vm().id());
        return controller != null && controller.isThrottled(batch.task().id());
    }

    /**
     * Decides about the VMs with new samples since the last call.
     *
     * @return actions against batch tasks
     */
    public List<InterferenceAction> decide() {
        List<InterferenceAction> actions = new ArrayList<>();
        long now = mClock.monotonicNanos();
        mWithNewSamples.values().forEach(controller -> actions.addAll(controller.decide(now)));
        mWithNewSamples.clear();
        return actions;
    }

    /**
     * Removes a VM that has left the partition.
     *
     * @param vm the VM
     */
    public void removeVm(VmId vm) {
        mControllers.remove(vm);
        mWithNewSamples.remove(vm);
    }
}
