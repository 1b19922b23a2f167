package org.knapweedbank.scheduling.placement;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;

/** Distinct capacities of the VMs of a partition, including VMs that were removed recently. */
public final class CapacityCatalog {
    private static final class CapacityEntry {
        private int mVmCount;
        private long mLastRemovedNanos;
    }

    private final Map<Resources, CapacityEntry> mEntries = new HashMap<>();
    private final long mRetentionNanos;
    private Resources mTotal = Resources.NONE;

    /** Number of distinct capacities for which no VM is registered at present. */
    private int mUnregisteredCapacities;

    CapacityCatalog(long retentionNanos) {
        mRetentionNanos = retentionNanos;
    }

    void add(Resources capacity) {
        CapacityEntry entry = mEntries.get(capacity);
        if (entry == null) {
            entry = new CapacityEntry();
            mEntries.put(capacity, entry);
        } else if (entry.mVmCount == 0) {
            mUnregisteredCapacities--;
        }
        entry.mVmCount++;
        mTotal = mTotal.plus(capacity);
    }

    void remove(Resources capacity, long nowNanos) {
        CapacityEntry entry = mEntries.get(capacity);
        entry.mVmCount--;
        mUnregisteredCapacities += entry.mVmCount == 0 ? 1 : 0;
        entry.mLastRemovedNanos = nowNanos;
        mTotal = mTotal.minus(capacity);
    }

    /**
     * Returns the total capacity of the registered VMs.
     *
     * @return the total capacity
     */
    public Resources total() {
        return mTotal;
    }

    /**
     * Returns whether an empty VM of some known capacity could hold the given resources.
     *
     * @param need required resources
     * @return true if a known VM is large enough, or if no VM is known
     */
    public boolean fitsSomeVm(Resources need) {
        return mEntries.isEmpty() || mEntries.keySet().stream().anyMatch(need::fitsIn);
    }

    /**
     * Removes the capacities of VMs that were removed longer ago than the retention time.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if a capacity was removed, in which case the result of {@link #fitsSomeVm} may
     *     change
     */
    public boolean removeExpired(long nowNanos) {
        if (mUnregisteredCapacities == 0) {
            return false;
        }
        int before = mEntries.size();
        mEntries.values()
                .removeIf(
                        entry ->
                                entry.mVmCount == 0
                                        && nowNanos - entry.mLastRemovedNanos > mRetentionNanos);
        mUnregisteredCapacities -= before - mEntries.size();
        return mEntries.size() < before;
    }

    /**
     * Returns the maximum of each resource component over the known VMs. A single VM need not have
     * all of them.
     *
     * @return the maximum amounts
     */
    public Resources componentMaxima() {
        long milliCpu = 0;
        long memoryMb = 0;
        int accelerators = 0;
        for (Resources capacity : mEntries.keySet()) {
            milliCpu = Math.max(milliCpu, capacity.milliCpu());
            memoryMb = Math.max(memoryMb, capacity.memoryMb());
            accelerators = Math.max(accelerators, capacity.accelerators());
        }
        return new Resources(milliCpu, memoryMb, accelerators);
    }
}
