package org.knapweedbank.scheduling.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.placement.LedgerTask;
import org.knapweedbank.time.Clock;

/** Controllers of all VMs on which services report latencies. */
public final class InterferenceControl {
    private final Clock mClock;
    private final PairPenalties mPenalties;
    private final Map<VmId, VmInterferenceController> mControllers = new HashMap<>();
    private final Map<VmId, VmInterferenceController> mChanged = new LinkedHashMap<>();

    /**
     * Creates a control without samples.
     *
     * @param clock source of time
     * @param penalties receives what is learned about pairs
     */
    public InterferenceControl(Clock clock, PairPenalties penalties) {
        mClock = clock;
        mPenalties = penalties;
    }

    /**
     * Takes in a sample of a service.
     *
     * @param service the service task
     * @param sample its sample
     */
    public void accept(LedgerTask service, UsageObservation sample) {
        VmId vm = service.slot().id();
        VmInterferenceController controller = mControllers.get(vm);
        if (controller == null || controller.slot() != service.slot()) {
            controller = new VmInterferenceController(service.slot(), mPenalties);
            mControllers.put(vm, controller);
        }
        controller.accept(service, sample, mClock.monotonicNanos());
        mChanged.put(vm, controller);
    }

    /**
     * Tells whether a batch task is limited, so that its measured usage is not what it needs.
     *
     * @param batch the task
     * @return true if limited
     */
    public boolean throttled(LedgerTask batch) {
        VmInterferenceController controller = mControllers.get(batch.slot().id());
        return controller != null && controller.throttled(batch.task().id());
    }

    /**
     * Decides about the VMs with samples since the last call.
     *
     * @return actions on batch tasks
     */
    public List<InterferenceAction> decide() {
        List<InterferenceAction> actions = new ArrayList<>();
        long now = mClock.monotonicNanos();
        mChanged.values().forEach(controller -> actions.addAll(controller.decide(now)));
        mChanged.clear();
        return actions;
    }

    /**
     * Forgets a VM that has left.
     *
     * @param vm the VM
     */
    public void forget(VmId vm) {
        mControllers.remove(vm);
        mChanged.remove(vm);
    }
}
