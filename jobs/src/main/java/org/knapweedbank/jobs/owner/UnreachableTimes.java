package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.Map;
import org.knapweedbank.model.DaemonId;

/**
 * Keeps the unreachable times in the VM list up to date, so that a later owner does not wait for a
 * VM from the start. The agent of a VM that is stored as unreachable is not answered until the list
 * is stored without that time.
 */
final class UnreachableTimes {
    /**
     * Interval at which the times of VMs that have not reported to this owner are updated, in
     * milliseconds. That of a VM which has is stored once, as its return would wait for a write of
     * the update.
     */
    private static final long UPDATE_MILLIS = 1_000;

    private final OwnerState mState;
    private final VmList mVmList;
    private final LeaseEnds mLeaseEnds;
    private long mUpdatedAt;

    /**
     * Monotonic time in milliseconds since which the owner could answer agents and store the return
     * of a VM; {@code Long.MAX_VALUE} while it can't.
     */
    private long mAnswersSince = Long.MAX_VALUE;

    UnreachableTimes(OwnerState state, VmList list, LeaseEnds leaseEnds) {
        mState = state;
        mVmList = list;
        mLeaseEnds = leaseEnds;
        mUpdatedAt = state.mTakenOverAt;
    }

    /** Adds and updates the times that are due. */
    void update() {
        updateAnswersSince();
        boolean updateDue = mState.now() - mUpdatedAt >= UPDATE_MILLIS;
        if (updateDue) {
            mUpdatedAt = mState.now();
        }
        Map<DaemonId, ListedVm> vms = mVmList.vms();
        vms.forEach(
                (agent, vm) -> {
                    if (vm.unreachableFor().isZero()) {
                        addIfSilent(agent);
                    } else if (updateDue && !mLeaseEnds.hasWorker(agent)) {
                        mVmList.setUnreachableFor(agent, unreachableFor(agent));
                    }
                });
    }

    /** Also notices a pause of the owner, after which the last answer of the store is old. */
    private void updateAnswersSince() {
        if (!mState.storeAnswers()) {
            mAnswersSince = Long.MAX_VALUE;
        } else {
            mAnswersSince = Math.min(mAnswersSince, mState.now());
        }
    }

    /** Stores a VM as unreachable if its leases are not extended any more. */
    private void addIfSilent(DaemonId agent) {
        if (mAnswersSince != Long.MAX_VALUE && isSilent(agent)) {
            Duration unreachableFor = unreachableFor(agent);
            mState.mLog.record(
                    "vm.unreachable", agent.value(), "silence_ms", unreachableFor.toMillis());
            mVmList.setUnreachableFor(agent, unreachableFor);
        }
    }

    /**
     * Returns whether the agent states that the worker is silent, or has not asked for authority
     * for so long that its VM gets no start orders any more. Time in which the owner could not have
     * answered does not count.
     */
    private boolean isSilent(DaemonId agent) {
        if (!mLeaseEnds.hasWorker(agent)) {
            return isSilentSince(
                    mState.mTakenOverAt + mState.mSettings.renewalAuthority().toMillis());
        }
        Vm vm = mState.mVms.get(agent);
        return vm.mWorkerSilent || isSilentSince(vm.mAuthorityRequestedAt);
    }

    private boolean isSilentSince(long at) {
        long since = Math.max(at, mAnswersSince);
        return mState.now() - since >= VmAvailability.MAX_ANSWER_AGE_MILLIS;
    }

    private Duration unreachableFor(DaemonId agent) {
        return mLeaseEnds.unreachableFor(mLeaseEnds.endAt(agent));
    }
}
