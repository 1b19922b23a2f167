package org.knapweedbank.scheduling.placement;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;

/** Capacities of the VMs of the partition, including those that left a short time ago. */
public final class CapacityCatalog {
    private static final class Entry {
        private int mLive;
        private long mLeftNanos;
    }

    private final Map<Resources, Entry> mEntries = new HashMap<>();
    private final long mMemoryNanos;
    private Resources mTotal = Resources.NONE;

    CapacityCatalog(long memoryNanos) {
        mMemoryNanos = memoryNanos;
    }

    void add(Resources capacity) {
        mEntries.computeIfAbsent(capacity, key -> new Entry()).mLive++;
        mTotal = mTotal.plus(capacity);
    }

    void remove(Resources capacity, long nowNanos) {
        Entry entry = mEntries.get(capacity);
        entry.mLive--;
        entry.mLeftNanos = nowNanos;
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
     * @param nowNanos monotonic time
     * @return true if a known VM is large enough, or no VM is known
     */
    public boolean mayFit(Resources need, long nowNanos) {
        forgetOld(nowNanos);
        return mEntries.isEmpty() || mEntries.keySet().stream().anyMatch(need::fitsIn);
    }

    private void forgetOld(long nowNanos) {
        mEntries.values()
                .removeIf(entry -> entry.mLive == 0 && nowNanos - entry.mLeftNanos > mMemoryNanos);
    }

    /**
     * Largest amount of each component over the known VMs; no single VM need have all of them.
     *
     * @return the largest amounts
     */
    public Resources largest() {
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
