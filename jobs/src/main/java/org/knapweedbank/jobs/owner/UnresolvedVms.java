package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.DaemonId;

/**
 * VMs that earlier owners listed and that have not reported their runs to this owner yet. Tasks of
 * earlier owners may run there until the leases have expired.
 */
final class UnresolvedVms {
    /**
     * Interval at which the unreachable times of VMs are written to the VM list, in milliseconds.
     */
    private static final long UNREACHABLE_UPDATE_MILLIS = 1_000;

    /**
     * Time after a takeover during which unreachable times are not written, in milliseconds. A VM
     * that reports within it, as most do, can be answered without waiting for a write.
     */
    private static final long UNREACHABLE_STORE_DELAY_MILLIS = 3_000;

    private final OwnerState mState;
    private final VmList mVmList;
    private final Map<DaemonId, ListedVm> mUnresolvedVms;

    /**
     * Time after the takeover for which the former owner may have gone on although it has been
     * replaced, beyond what it was allowed to without a confirmation.
     */
    private final Duration mFormerOwnerDelay;

    /** True until all tasks of earlier owners are known to run on no VM that has not reported. */
    private boolean mMayRunUnreported = true;

    /** Monotonic time in milliseconds of the last update of the unreachable times. */
    private long mUnreachableTimesUpdatedAt;

    UnresolvedVms(OwnerState state, VmList list, boolean knownToFormerOwner) {
        mState = state;
        mVmList = list;
        mUnresolvedVms = new HashMap<>(list.vms());
        mFormerOwnerDelay = knownToFormerOwner ? Duration.ZERO : state.mSettings.maxStoreSilence();
        mUnreachableTimesUpdatedAt = state.mTakenOverAt;
    }

    /** Lets the tasks of earlier owners start once none can run on a VM that has not reported. */
    void releaseTasksIfResolved() {
        if (mMayRunUnreported && !hasUnresolvedVms()) {
            mMayRunUnreported = false;
            mState.jobs().forEach(Job::markAllReported);
        }
    }

    /** Stops waiting for VMs whose leases have expired, and notes how long the others are away. */
    void update() {
        mUnresolvedVms.entrySet().stream()
                .filter(entry -> leasesExpired(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::resolve);
        updateUnreachableTimes();
    }

    /**
     * Returns whether a task that an earlier owner may have started could still run on a VM that
     * has not reported yet.
     */
    boolean hasUnresolvedVms() {
        return mUnresolvedVms.entrySet().stream()
                .anyMatch(entry -> !leasesExpired(entry.getKey(), entry.getValue()));
    }

    /**
     * Returns whether the leases that earlier owners allowed have expired on a VM, which they do
     * not while its agent is answered.
     */
    private boolean leasesExpired(DaemonId agent, ListedVm vm) {
        Duration limit = mState.mSettings.earlierLeaseTimeout();
        return !hasReported(agent) && unreachableFor(vm).compareTo(limit) >= 0;
    }

    /**
     * Returns whether the worker of a VM is known. It stays unresolved after incomplete reports
     * only, which come while the worker has more ends than it lists at once.
     */
    private boolean hasReported(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        return vm != null && vm.mWorker != null;
    }

    /**
     * Returns how long a VM has been unreachable, summed over all terms. The time between two terms
     * does not count, nor does the time for which a former owner may have gone on.
     */
    private Duration unreachableFor(ListedVm vm) {
        long sinceTakeover = mState.now() - mState.mTakenOverAt;
        return vm.unreachableFor()
                .plusMillis(Math.max(0, sinceTakeover - mFormerOwnerDelay.toMillis()));
    }

    /**
     * Updates the unreachable times in the VM list, so that a later owner does not have to wait for
     * these VMs from the start.
     */
    private void updateUnreachableTimes() {
        boolean tooEarly = mState.now() - mState.mTakenOverAt < UNREACHABLE_STORE_DELAY_MILLIS;
        if (!tooEarly && mState.now() - mUnreachableTimesUpdatedAt >= UNREACHABLE_UPDATE_MILLIS) {
            mUnreachableTimesUpdatedAt = mState.now();
            mUnresolvedVms.forEach(
                    (agent, vm) -> {
                        if (!hasReported(agent)) {
                            mVmList.setUnreachableFor(agent, unreachableFor(vm));
                        }
                    });
        }
    }

    /** Stops waiting for the report of a VM of an earlier owner. */
    void resolve(DaemonId agent) {
        ListedVm vm = mUnresolvedVms.remove(agent);
        if (vm != null) {
            mState.mLog.record(
                    "vm.resolved",
                    agent.value(),
                    "silence_ms",
                    unreachableFor(vm).toMillis(),
                    "left",
                    mUnresolvedVms.size());
            if (!mState.mVms.containsKey(agent)) {
                mVmList.remove(agent);
            }
        }
    }
}
