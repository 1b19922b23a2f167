package org.knapweedbank.jobs.owner;

import java.util.List;

/** Logs once a second how the processor time of all connected VMs is used, and exposes it. */
final class VmUseLogger {
    private static final String GAUGE = "vm_milli_cpu";
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final OwnerState mState;
    private long mLoggedAt;

    VmUseLogger(OwnerState state) {
        mState = state;
        mLoggedAt = state.now();
    }

    /** Logs a line and sets the gauges if the interval has passed. */
    void logIfDue() {
        if (mState.now() - mLoggedAt < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedAt = mState.now();
        List<Vm> vms =
                mState.mVms.values().stream()
                        .filter(vm -> vm.mConnected && vm.mWorker != null)
                        .toList();
        long capacity = vms.stream().mapToLong(vm -> vm.mWorker.capacity().milliCpu()).sum();
        long reserved = vms.stream().mapToLong(vm -> vm.mReserved.milliCpu()).sum();
        long used = vms.stream().mapToLong(VmUseLogger::usedMilliCpu).sum();
        long idle = Math.max(0, capacity - used);
        mState.mLog.record(
                "vms.use",
                "owner",
                "vms",
                vms.size(),
                "capacity",
                capacity,
                "reserved",
                reserved,
                "used",
                used,
                "idle",
                idle);
        mState.mLog.gauge(GAUGE, "capacity", capacity);
        mState.mLog.gauge(GAUGE, "reserved", reserved);
        mState.mLog.gauge(GAUGE, "used", used);
        mState.mLog.gauge(GAUGE, "idle", idle);
    }

    /**
     * Returns the processor time that the runs on a VM use, in thousandths of a core. Workers do
     * not report that of serving tasks; it is estimated from their tail latency.
     */
    private static long usedMilliCpu(Vm vm) {
        long serving = vm.mServingMilliCpu - Math.round(vm.unusedServingMilliCpu());
        return serving + vm.mRuns.values().stream().mapToLong(Run::reportedMilliCpu).sum();
    }
}
