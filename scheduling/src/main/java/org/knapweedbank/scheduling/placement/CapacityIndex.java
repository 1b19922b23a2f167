package org.knapweedbank.scheduling.placement;

import java.util.Arrays;
import org.knapweedbank.model.Resources;

/**
 * VMs in buckets by free accelerators, processor time and memory. Processor time and memory have
 * four levels for each power of two; bit masks tell which buckets are occupied. A search visits
 * only buckets that can hold the task, and compares exact amounts only in those whose level equals
 * that of the task.
 */
public final class CapacityIndex {
    private static final int LEVELS = 64;
    private static final int ACCELERATOR_LEVELS = 17;

    /** Amount of one unit of the lowest level, in thousandths of a core. */
    private static final long CPU_UNIT_MILLICORES = 64;

    /** Amount of one unit of the lowest level, in MiB. */
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

    /** Buckets of the VMs with the same number of free accelerators. */
    private static final class AcceleratorGroup {
        private final long[] mMemoryMasks = new long[LEVELS];
        private final Bucket[][] mBuckets = new Bucket[LEVELS][];
        private long mCpuMask;
    }

    private final AcceleratorGroup[] mAcceleratorGroups = new AcceleratorGroup[ACCELERATOR_LEVELS];

    /**
     * Enters, moves or removes a VM.
     *
     * @param entry entry of the VM
     * @param amount amount by which it is found
     * @param present false to remove it
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
     * Collects VMs of a data centre on which ending batch tasks makes room.
     *
     * @param dataCentre the data centre
     * @param need the room
     * @param results receives the VMs
     * @return number of VMs found, at most the length of {@code results}
     */
    public static int collectPreemptible(
            DataCentreCapacity dataCentre, Resources need, VmState[] results) {
        return dataCentre.preemptibleIndex().collect(need, false, results, 0, results.length);
    }

    /**
     * Collects VMs that hold an amount, those with the fewest spare accelerators first. Only VMs
     * with the same number of free accelerators are returned together.
     *
     * @param need the amount
     * @param bestFit true to begin with little spare processor time, false with much
     * @param results receives the VMs
     * @param start first position of {@code results} to fill
     * @param limit largest number of VMs
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
     * Collects VMs that hold an amount and have spare accelerators, from each number of spare
     * accelerators those with much free processor time.
     *
     * @param need the amount
     * @param results receives the VMs
     * @param limit largest number of VMs for each number of spare accelerators
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

    /** Collects VMs that hold an amount and have exactly the accelerators needed. */
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

    /** Level of an amount: 0 below one unit, then four levels for each power of two. */
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
