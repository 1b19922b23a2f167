package org.knapweedbank.jobs.owner;

import java.util.Optional;

/** Tells which VMs may get start orders now, and why the others may not. */
final class VmAvailability {
    /**
     * Maximum age of the last answer to an agent, in milliseconds. A start order after a longer
     * time would reach the agent with an outdated permit.
     */
    static final long MAX_ANSWER_AGE_MILLIS = 1_500;

    private final OwnerState mState;

    VmAvailability(OwnerState state) {
        mState = state;
    }

    /** Returns whether a VM may get start orders of some tasks; refused ones may have to wait. */
    boolean isOpen(Vm vm) {
        return closure(vm).filter(closure -> closure != VmClosure.BACKOFF).isEmpty();
    }

    /** Returns why a VM gets no start orders; empty if it may get them. */
    Optional<VmClosure> closure(Vm vm) {
        if (!vm.mConnected) {
            return Optional.of(VmClosure.DISCONNECTED);
        }
        if (vm.mWorker == null) {
            return Optional.of(VmClosure.NO_WORKER);
        }
        if (!vm.mListedInStore) {
            return Optional.of(VmClosure.NOT_LISTED);
        }
        if (vm.mWorker.draining()) {
            return Optional.of(VmClosure.DRAINING);
        }
        if (!vm.mUnwantedTasks.isEmpty()) {
            return Optional.of(VmClosure.UNWANTED_RUN);
        }
        if (mState.mEvacuatedDataCentres.contains(vm.mDataCentre)) {
            return Optional.of(VmClosure.EVACUATED);
        }
        if (mState.now() - vm.mAuthorityGrantedAt > MAX_ANSWER_AGE_MILLIS) {
            return Optional.of(VmClosure.UNANSWERED);
        }
        return vm.mRefusals.backsOff() ? Optional.of(VmClosure.BACKOFF) : Optional.empty();
    }
}
