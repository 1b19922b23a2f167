package org.knapweedbank.jobs.owner;

import java.util.HashSet;
import java.util.Set;
import org.knapweedbank.model.DaemonId;

/**
 * VMs that earlier owners listed and that have not reported their runs to this owner yet. Tasks of
 * earlier owners may run there until the leases have ended.
 */
final class UnresolvedVms {
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final OwnerState mState;
    private final VmList mVmList;
    private final LeaseEnds mLeaseEnds;

    private final Set<DaemonId> mUnresolvedVms;

    private long mLoggedAt;

    /** True until all tasks of earlier owners are known to run on no VM that has not reported. */
    private boolean mMayRunUnreported = true;

    UnresolvedVms(OwnerState state, VmList list, LeaseEnds leaseEnds) {
        mState = state;
        mVmList = list;
        mLeaseEnds = leaseEnds;
        mUnresolvedVms = new HashSet<>(list.vms().keySet());
        mLoggedAt = state.mTakenOverAt;
    }

    /** Lets the tasks of earlier owners start once none can run on a VM that has not reported. */
    void releaseTasksIfResolved() {
        if (mMayRunUnreported && !hasUnresolvedVms()) {
            mMayRunUnreported = false;
            mState.jobs().forEach(Job::markAllReported);
        }
    }

    /** Stops waiting for VMs whose leases have ended. */
    void update() {
        mUnresolvedVms.stream().filter(this::leasesEnded).toList().forEach(this::resolve);
        logWait();
    }

    /** Logs once a second how many VMs are waited for, and for how long at most. */
    private void logWait() {
        boolean due = mState.now() - mLoggedAt >= LOG_INTERVAL_MILLIS;
        if (!due || mUnresolvedVms.isEmpty()) {
            return;
        }
        mLoggedAt = mState.now();
        long lastEndAt =
                mUnresolvedVms.stream().mapToLong(mLeaseEnds::endAt).max().orElse(mState.now());
        mState.mLog.record(
                "vms.unresolved",
                mState.mTerm,
                "vms",
                mUnresolvedVms.size(),
                "left_ms",
                lastEndAt - mState.now());
    }

    /**
     * Returns whether a task that an earlier owner may have started could still run on a VM that
     * has not reported yet.
     */
    boolean hasUnresolvedVms() {
        return !mUnresolvedVms.stream().allMatch(this::leasesEnded);
    }

    /**
     * Returns whether the leases on a VM have ended. One whose worker is known stays unresolved
     * after incomplete reports only, which come while the worker has more ends than it lists at
     * once; its tasks run until it is given up.
     */
    private boolean leasesEnded(DaemonId agent) {
        return !mLeaseEnds.hasWorker(agent) && mLeaseEnds.ended(mLeaseEnds.endAt(agent));
    }

    /** Stops waiting for the report of a VM of an earlier owner. */
    void resolve(DaemonId agent) {
        if (mUnresolvedVms.remove(agent)) {
            mState.mLog.record(
                    "vm.resolved",
                    agent.value(),
                    "silence_ms",
                    mLeaseEnds.unreachableFor(mLeaseEnds.endAt(agent)).toMillis(),
                    "left",
                    mUnresolvedVms.size());
            if (!mState.mVms.containsKey(agent)) {
                mVmList.remove(agent);
            }
        }
    }
}
