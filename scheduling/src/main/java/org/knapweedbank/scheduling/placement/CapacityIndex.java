package org.knapweedbank.scheduling.placement;

import java.util.Arrays;
import org.knapweedbank.model.Resources;

/**
 * Index of VMs by free accelerators, CPU and memory. VMs are grouped into buckets; CPU and memory
 * have four levels for each power of two, and bit masks mark the occupied buckets. A search visits
 * only buckets that can contain a VM that is large enough.
 */
public final class CapacityIndex {
    /** Number of CPU levels and of memory levels; larger amounts share the last level. */
    private static final int LEVELS = 64;

    /** Number of accelerator levels; VMs with 16 or more free accelerators share the last one. */
    private static final int ACCELERATOR_LEVELS = 17;

    /** Unit of the CPU levels in thousandths of a core. */
    private static final long CPU_UNIT_MILLICORES = 64;

    /** Unit of the memory levels in MiB. */
    private static final long MEMORY_UNIT_MIB = 64;

    /** Entry of a VM in the index. */
    static final class Entry {
        private final VmState mVm;
        private Bucket mBucket;
        private int mPosition;
        private long mMilliCpu;
        private long mMemoryMb;
        private int mAccelerators;

        Entry(VmState vm) {
            mVm = vm;
        }

        private boolean fits(Resources need) {
            return need.milliCpu() <= mMilliCpu
                    && need.memoryMb() <= mMemoryMb
                    && need.accelerators() <= mAccelerators;
        }
    }

    private static final class Bucket {
        private final int mAcceleratorLevel;
        private final int mCpuLevel;
        private final int mMemoryLevel;
        private Entry[] mEntries = new Entry[2];
        private int mSize;

        Bucket(int group, int cpuLevel, int memoryLevel) {
            mAcceleratorLevel = group;
            mCpuLevel = cpuLevel;
            mMemoryLevel = memoryLevel;
        }
    }

    /**
     * Buckets of the VMs at the same accelerator level. The level is the number of free
     * accelerators, up to a maximum.
     */
    private static final class AcceleratorGroup {
        private final long[] mMemoryMasks = new long[LEVELS];
        private final Bucket[][] mBuckets = new Bucket[LEVELS][];
        private long mCpuMask;
    }

    private final AcceleratorGroup[] mAcceleratorGroups = new AcceleratorGroup[ACCELERATOR_LEVELS];

    /**
     * Adds, moves or removes a VM.
     *
     * @param entry index entry of the VM
     * @param amount resources by which the VM is found
     * @param present true to add or move the VM, false to remove it
     */
    void update(Entry entry, Resources amount, boolean present) {
        Bucket target =
                present
                        ? bucket(
                                Math.min(amount.accelerators(), ACCELERATOR_LEVELS - 1),
                                level(amount.milliCpu(), CPU_UNIT_MILLICORES),
                                level(amount.memoryMb(), MEMORY_UNIT_MIB))
                        : null;
        entry.mMilliCpu = amount.milliCpu();
        entry.mMemoryMb = amount.memoryMb();
        entry.mAccelerators = amount.accelerators();
        if (target != entry.mBucket) {
            if (entry.mBucket != null) {
                remove(entry);
            }
            if (target != null) {
                insert(target, entry);
            }
        }
    }

    /**
     * Collects VMs of a data centre that have enough capacity if their preemptible tasks end.
     *
     * @param dataCentre the data centre
     * @param need required resources
     * @param results array that receives the VMs
     * @return number of VMs found, at most the length of {@code results}
     */
    public static int collectPreemptible(
            DataCentreCapacity dataCentre, Resources need, VmState[] results) {
        return dataCentre.preemptibleIndex().collect(need, false, results, 0, results.length);
    }

    /**
     * Collects VMs that have the required resources, from the lowest accelerator level on which
     * there is one. All collected VMs are at the same accelerator level.
     *
     * @param need required resources
     * @param bestFit true to start with the VMs with the least CPU, false to start with those with
     *     the most
     * @param results array that receives the VMs
     * @param start index in {@code results} of the first VM to store
     * @param limit maximum number of VMs to collect
     * @return number of VMs found
     */
    int collect(Resources need, boolean bestFit, VmState[] results, int start, int limit) {
        int cpuLevel = level(need.milliCpu(), CPU_UNIT_MILLICORES);
        int memoryLevel = level(need.memoryMb(), MEMORY_UNIT_MIB);
        int firstLevel = Math.min(need.accelerators(), ACCELERATOR_LEVELS - 1);
        for (int acceleratorLevel = firstLevel;
                acceleratorLevel < ACCELERATOR_LEVELS;
                acceleratorLevel++) {
            AcceleratorGroup group = mAcceleratorGroups[acceleratorLevel];
            if (group != null) {
                int count =
                        collect(group, need, cpuLevel, memoryLevel, bestFit, results, start, limit);
                if (count > 0) {
                    return count;
                }
            }
        }
        return 0;
    }

    /**
     * Collects VMs that have the required resources and more accelerators than required. At each
     * accelerator level, VMs with the most CPU come first.
     *
     * @param need required resources
     * @param results array that receives the VMs
     * @param limit maximum number of VMs for each accelerator level
     * @return number of VMs found
     */
    int collectFromEachAcceleratorLevel(Resources need, VmState[] results, int limit) {
        int cpuLevel = level(need.milliCpu(), CPU_UNIT_MILLICORES);
        int memoryLevel = level(need.memoryMb(), MEMORY_UNIT_MIB);
        int count = 0;
        for (int acceleratorLevel = need.accelerators() + 1;
                acceleratorLevel < ACCELERATOR_LEVELS;
                acceleratorLevel++) {
            AcceleratorGroup group = mAcceleratorGroups[acceleratorLevel];
            if (group != null) {
                int maxResults = Math.min(limit, results.length - count);
                count +=
                        collect(
                                group,
                                need,
                                cpuLevel,
                                memoryLevel,
                                false,
                                results,
                                count,
                                maxResults);
            }
        }
        return count;
    }

    /**
     * Collects VMs that have the required resources and exactly the required number of
     * accelerators.
     *
     * @param need required resources
     * @param results array that receives the VMs
     * @param limit maximum number of VMs to collect
     * @return number of VMs found
     */
    int collectExact(Resources need, VmState[] results, int limit) {
        int acceleratorLevel = Math.min(need.accelerators(), ACCELERATOR_LEVELS - 1);
        return mAcceleratorGroups[acceleratorLevel] == null
                ? 0
                : collect(
                        mAcceleratorGroups[acceleratorLevel],
                        need,
                        level(need.milliCpu(), CPU_UNIT_MILLICORES),
                        level(need.memoryMb(), MEMORY_UNIT_MIB),
                        true,
                        results,
                        0,
                        limit);
    }

    private static int collect(
            AcceleratorGroup group,
            Resources need,
            int minCpuLevel,
            int minMemoryLevel,
            boolean bestFit,
            VmState[] results,
            int start,
            int limit) {
        int count = 0;
        long cpuMask = group.mCpuMask & (-1L << minCpuLevel);
        while (cpuMask != 0 && count < limit) {
            int cpuLevel = nextLevel(cpuMask, bestFit);
            cpuMask &= ~(1L << cpuLevel);
            long memoryMask = group.mMemoryMasks[cpuLevel] & (-1L << minMemoryLevel);
            while (memoryMask != 0 && count < limit) {
                int memoryLevel = nextLevel(memoryMask, bestFit);
                memoryMask &= ~(1L << memoryLevel);
                Bucket bucket = group.mBuckets[cpuLevel][memoryLevel];
                for (int i = 0; i < bucket.mSize && count < limit; i++) {
                    if (bucket.mEntries[i].fits(need)) {
                        results[start + count++] = bucket.mEntries[i].mVm;
                    }
                }
            }
        }
        return count;
    }

    private static int nextLevel(long mask, boolean lowest) {
        return lowest
                ? Long.numberOfTrailingZeros(mask)
                : LEVELS - 1 - Long.numberOfLeadingZeros(mask);
    }

    /** Returns the level of an amount: 0 below one unit, then four levels for each power of two. */
    static int level(long amount, long unit) {
        long units = amount / unit;
        if (units <= 0) {
            return 0;
        }
        int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(units);
        long quarter = exponent >= 2 ? units >> (exponent - 2) : units << (2 - exponent);
        return (int) Math.min(LEVELS - 1, 1 + 4L * exponent + (quarter & 3));
    }

    private Bucket bucket(int acceleratorLevel, int cpuLevel, int memoryLevel) {
        if (mAcceleratorGroups[acceleratorLevel] == null) {
            mAcceleratorGroups[acceleratorLevel] = new AcceleratorGroup();
        }
        AcceleratorGroup group = mAcceleratorGroups[acceleratorLevel];
        if (group.mBuckets[cpuLevel] == null) {
            group.mBuckets[cpuLevel] = new Bucket[LEVELS];
        }
        if (group.mBuckets[cpuLevel][memoryLevel] == null) {
            group.mBuckets[cpuLevel][memoryLevel] =
                    new Bucket(acceleratorLevel, cpuLevel, memoryLevel);
        }
        return group.mBuckets[cpuLevel][memoryLevel];
    }

    private void insert(Bucket bucket, Entry entry) {
        if (bucket.mSize == bucket.mEntries.length) {
            bucket.mEntries = Arrays.copyOf(bucket.mEntries, 2 * bucket.mSize);
        }
        entry.mBucket = bucket;
        entry.mPosition = bucket.mSize;
        bucket.mEntries[bucket.mSize++] = entry;
        AcceleratorGroup group = mAcceleratorGroups[bucket.mAcceleratorLevel];
        group.mMemoryMasks[bucket.mCpuLevel] |= 1L << bucket.mMemoryLevel;
        group.mCpuMask |= 1L << bucket.mCpuLevel;
    }

    private void remove(Entry entry) {
        Bucket bucket = entry.mBucket;
        Entry last = bucket.mEntries[--bucket.mSize];
        bucket.mEntries[entry.mPosition] = last;
        last.mPosition = entry.mPosition;
        bucket.mEntries[bucket.mSize] = null;
        entry.mBucket = null;
        if (bucket.mSize == 0) {
            AcceleratorGroup group = mAcceleratorGroups[bucket.mAcceleratorLevel];
            group.mBuckets[bucket.mCpuLevel][bucket.mMemoryLevel] = null;
            group.mMemoryMasks[bucket.mCpuLevel] &= ~(1L << bucket.mMemoryLevel);
            if (group.mMemoryMasks[bucket.mCpuLevel] == 0) {
                group.mCpuMask &= ~(1L << bucket.mCpuLevel);
            }
        }
    }
}
