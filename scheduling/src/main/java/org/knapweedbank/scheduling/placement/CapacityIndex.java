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
    private static final long CPU_UNIT = 64;

    /** Amount of one unit of the lowest level, in MiB. */
    private static final long MEMORY_UNIT = 64;

    /** Entry of a VM in the index. */
    static final class Node {
        private final VmSlot mSlot;
        private Bucket mBucket;
        private int mPosition;
        private long mMilliCpu;
        private long mMemoryMb;
        private int mAccelerators;

        Node(VmSlot slot) {
            mSlot = slot;
        }

        private boolean holds(Resources need) {
            return need.milliCpu() <= mMilliCpu
                    && need.memoryMb() <= mMemoryMb
                    && need.accelerators() <= mAccelerators;
        }
    }

    private static final class Bucket {
        private final int mPlane;
        private final int mCpu;
        private final int mMemory;
        private Node[] mNodes = new Node[2];
        private int mSize;

        Bucket(int plane, int cpu, int memory) {
            mPlane = plane;
            mCpu = cpu;
            mMemory = memory;
        }
    }

    /** Buckets of the VMs with the same number of free accelerators. */
    private static final class Plane {
        private final long[] mMemoryMasks = new long[LEVELS];
        private final Bucket[][] mBuckets = new Bucket[LEVELS][];
        private long mCpuMask;
    }

    private final Plane[] mPlanes = new Plane[ACCELERATOR_LEVELS];

    /**
     * Enters, moves or removes a VM.
     *
     * @param node entry of the VM
     * @param amount amount by which it is found
     * @param present false to remove it
     */
    void update(Node node, Resources amount, boolean present) {
        Bucket target =
                present
                        ? bucket(
                                Math.min(amount.accelerators(), ACCELERATOR_LEVELS - 1),
                                level(amount.milliCpu(), CPU_UNIT),
                                level(amount.memoryMb(), MEMORY_UNIT))
                        : null;
        node.mMilliCpu = amount.milliCpu();
        node.mMemoryMb = amount.memoryMb();
        node.mAccelerators = amount.accelerators();
        if (target != node.mBucket) {
            if (node.mBucket != null) {
                remove(node);
            }
            if (target != null) {
                insert(target, node);
            }
        }
    }

    /**
     * Collects VMs of a data centre on which ending batch tasks makes room.
     *
     * @param dataCentre the data centre
     * @param need the room
     * @param found receives the VMs
     * @return number of VMs found, at most the length of {@code found}
     */
    public static int collectPreemptible(
            DataCentreCapacity dataCentre, Resources need, VmSlot[] found) {
        return dataCentre.preemptible().collect(need, false, found, 0, found.length);
    }

    /**
     * Collects VMs that hold an amount, those with the fewest spare accelerators first. Only VMs
     * with the same number of free accelerators are returned together.
     *
     * @param need the amount
     * @param tight true to begin with little spare processor time, false with much
     * @param found receives the VMs
     * @param from first position of {@code found} to fill
     * @param limit largest number of VMs
     * @return number of VMs found
     */
    int collect(Resources need, boolean tight, VmSlot[] found, int from, int limit) {
        int cpu = level(need.milliCpu(), CPU_UNIT);
        int memory = level(need.memoryMb(), MEMORY_UNIT);
        int first = Math.min(need.accelerators(), ACCELERATOR_LEVELS - 1);
        for (int p = first; p < ACCELERATOR_LEVELS; p++) {
            Plane plane = mPlanes[p];
            if (plane != null) {
                int count = collect(plane, need, cpu, memory, tight, found, from, limit);
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
     * @param found receives the VMs
     * @param limit largest number of VMs for each number of spare accelerators
     * @return number of VMs found
     */
    int collectFromEachPlane(Resources need, VmSlot[] found, int limit) {
        int cpu = level(need.milliCpu(), CPU_UNIT);
        int memory = level(need.memoryMb(), MEMORY_UNIT);
        int count = 0;
        for (int p = need.accelerators() + 1; p < ACCELERATOR_LEVELS; p++) {
            Plane plane = mPlanes[p];
            if (plane != null) {
                int most = Math.min(limit, found.length - count);
                count += collect(plane, need, cpu, memory, false, found, count, most);
            }
        }
        return count;
    }

    /** Collects VMs that hold an amount and have exactly the accelerators needed. */
    int collectExact(Resources need, VmSlot[] found, int limit) {
        int p = Math.min(need.accelerators(), ACCELERATOR_LEVELS - 1);
        return mPlanes[p] == null
                ? 0
                : collect(
                        mPlanes[p],
                        need,
                        level(need.milliCpu(), CPU_UNIT),
                        level(need.memoryMb(), MEMORY_UNIT),
                        true,
                        found,
                        0,
                        limit);
    }

    private static int collect(
            Plane plane,
            Resources need,
            int cpuLevel,
            int memoryLevel,
            boolean tight,
            VmSlot[] found,
            int from,
            int limit) {
        int count = 0;
        long cpuMask = plane.mCpuMask & (-1L << cpuLevel);
        while (cpuMask != 0 && count < limit) {
            int cpu = next(cpuMask, tight);
            cpuMask &= ~(1L << cpu);
            long memoryMask = plane.mMemoryMasks[cpu] & (-1L << memoryLevel);
            while (memoryMask != 0 && count < limit) {
                int memory = next(memoryMask, tight);
                memoryMask &= ~(1L << memory);
                Bucket bucket = plane.mBuckets[cpu][memory];
                for (int i = 0; i < bucket.mSize && count < limit; i++) {
                    if (bucket.mNodes[i].holds(need)) {
                        found[from + count++] = bucket.mNodes[i].mSlot;
                    }
                }
            }
        }
        return count;
    }

    private static int next(long mask, boolean lowest) {
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
        int octave = Long.SIZE - 1 - Long.numberOfLeadingZeros(units);
        long quarter = octave >= 2 ? units >> (octave - 2) : units << (2 - octave);
        return (int) Math.min(LEVELS - 1, 1 + 4L * octave + (quarter & 3));
    }

    private Bucket bucket(int p, int cpu, int memory) {
        if (mPlanes[p] == null) {
            mPlanes[p] = new Plane();
        }
        Plane plane = mPlanes[p];
        if (plane.mBuckets[cpu] == null) {
            plane.mBuckets[cpu] = new Bucket[LEVELS];
        }
        if (plane.mBuckets[cpu][memory] == null) {
            plane.mBuckets[cpu][memory] = new Bucket(p, cpu, memory);
        }
        return plane.mBuckets[cpu][memory];
    }

    private void insert(Bucket bucket, Node node) {
        if (bucket.mSize == bucket.mNodes.length) {
            bucket.mNodes = Arrays.copyOf(bucket.mNodes, 2 * bucket.mSize);
        }
        node.mBucket = bucket;
        node.mPosition = bucket.mSize;
        bucket.mNodes[bucket.mSize++] = node;
        Plane plane = mPlanes[bucket.mPlane];
        plane.mMemoryMasks[bucket.mCpu] |= 1L << bucket.mMemory;
        plane.mCpuMask |= 1L << bucket.mCpu;
    }

    private void remove(Node node) {
        Bucket bucket = node.mBucket;
        Node last = bucket.mNodes[--bucket.mSize];
        bucket.mNodes[node.mPosition] = last;
        last.mPosition = node.mPosition;
        bucket.mNodes[bucket.mSize] = null;
        node.mBucket = null;
        if (bucket.mSize == 0) {
            Plane plane = mPlanes[bucket.mPlane];
            plane.mBuckets[bucket.mCpu][bucket.mMemory] = null;
            plane.mMemoryMasks[bucket.mCpu] &= ~(1L << bucket.mMemory);
            if (plane.mMemoryMasks[bucket.mCpu] == 0) {
                plane.mCpuMask &= ~(1L << bucket.mCpu);
            }
        }
    }
}
