package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.knapweedbank.model.DaemonId;

/**
 * Tells when all leases on a VM have ended, whichever owner allowed them. This is the only wait of
 * a task for a VM that may still run it, and it is counted from the last answer to the VM's agent.
 * A change of the owner does not start it again: the VM list carries it over.
 */
final class LeaseEnds {
    private final OwnerState mState;
    private final EarlierOwners mEarlierOwners;

    /** Unreachable times in the VM list that the former owner stored. */
    private final Map<DaemonId, Duration> mUnreachableAtTakeover;

    LeaseEnds(OwnerState state, EarlierOwners earlierOwners, VmList list) {
        mState = state;
        mEarlierOwners = earlierOwners;
        mUnreachableAtTakeover =
                list.vms().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, vm -> vm.getValue().unreachableFor()));
    }

    /**
     * Returns the monotonic time in milliseconds at which all leases on a VM have ended unless its
     * agent is answered again.
     *
     * @param agent the agent of a VM in the list
     */
    long endAt(DaemonId agent) {
        if (hasWorker(agent)) {
            return endAt(mState.mVms.get(agent));
        }
        Duration unreachable = mUnreachableAtTakeover.getOrDefault(agent, Duration.ZERO);
        if (unreachable.isZero()) {
            return mEarlierOwners.leasesEndAt();
        }
        // No earlier owner can answer the agent of a VM that is stored as unreachable.
        return mState.mTakenOverAt + earlierLeaseMillis() - unreachable.toMillis();
    }

    /** Returns whether a VM has reported a worker that has not been given up. */
    boolean hasWorker(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        return vm != null && vm.mWorker != null;
    }

    /** Returns this time for a VM that has reported a worker. */
    long endAt(Vm vm) {
        long millis = mState.mSettings.leaseTimeout().toMillis();
        return Math.max(vm.mAuthorityGrantedAt + millis, vm.mExcessLeaseUntil);
    }

    /** Returns whether the leases have ended that end at a time. */
    boolean ended(long endAt) {
        return mState.now() >= endAt;
    }

    /**
     * Returns for how long a VM counts as unreachable whose leases end at a time: the longest wait
     * for a VM under a new owner, less what is left of it.
     */
    Duration unreachableFor(long endAt) {
        long left = endAt - mState.now();
        return Duration.ofMillis(Math.max(0, earlierLeaseMillis() - left));
    }

    private long earlierLeaseMillis() {
        return mState.mSettings.earlierLeaseTimeout().toMillis();
    }
}
