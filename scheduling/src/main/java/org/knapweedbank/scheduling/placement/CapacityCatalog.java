package org.knapweedbank.scheduling.placement;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;

/** Capacities of the VMs of the partition, including those that left a short time ago. */
public final class CapacityCatalog {
    private static final class CapacityEntry {
        private int mVmCount;
        private long mLastRemovedNanos;
    }

    private final Map<Resources, CapacityEntry> mEntries = new HashMap<>();
    private final long mRetentionNanos;
    private Resources mTotal = Resources.NONE;

    /** Capacities of which no VM is registered. */
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
     * Sum over the registered VMs.
     *
     * @return the total
     */
    public Resources total() {
        return mTotal;
    }

    /**
     * Tells whether some VM, if empty, would hold an amount.
     *
     * @param need the amount
     * @return true if a known VM is large enough, or no VM is known
     */
    public boolean fitsSomeVm(Resources need) {
        return mEntries.isEmpty() || mEntries.keySet().stream().anyMatch(need::fitsIn);
    }

    /**
     * Forgets the capacities of VMs that left too long ago.
     *
     * @param nowNanos monotonic time
     * @return true if one was forgotten, after which {@link #fitsSomeVm} may change
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
     * Largest amount of each component over the known VMs; no single VM need have all of them.
     *
     * @return the largest amounts
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
