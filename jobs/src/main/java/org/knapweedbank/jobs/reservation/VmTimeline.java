package org.knapweedbank.jobs.reservation;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.knapweedbank.model.Resources;

/** Resources of a VM that become free over time, less those reserved in the present plan. */
final class VmTimeline {
    /** Time of something that is not expected to happen. */
    static final long NEVER = Long.MAX_VALUE;

    final VmRoom mVm;
    private final long mNow;
    private final List<EndingRun> mRuns;
    private Resources mAvailable;

    /**
     * Creates the timeline of a VM.
     *
     * @param horizon monotonic time in milliseconds up to which ends are considered
     */
    VmTimeline(VmRoom vm, long now, long horizon) {
        mVm = vm;
        mNow = now;
        mRuns =
                vm.runs().stream()
                        .filter(run -> run.expectedEndFrom(now) <= horizon)
                        .sorted(Comparator.comparingLong(run -> run.expectedEndFrom(now)))
                        .toList();
        mAvailable = vm.unreserved();
    }

    /** Returns when the resources are expected to be free, {@link #NEVER} if they are not. */
    long earliestStart(Resources room) {
        return startAfter(mRuns, run -> run.expectedEndFrom(mNow), room);
    }

    /** Returns when the resources are very likely free, {@link #NEVER} if they are not. */
    long latestStart(Resources room) {
        List<EndingRun> runs =
                mRuns.stream()
                        .sorted(Comparator.comparingLong(run -> run.latestEndFrom(mNow)))
                        .toList();
        return startAfter(runs, run -> run.latestEndFrom(mNow), room);
    }

    private long startAfter(List<EndingRun> runs, ToLongFunction<EndingRun> end, Resources room) {
        long milliCpu = mAvailable.milliCpu() - room.milliCpu();
        long memoryMb = mAvailable.memoryMb() - room.memoryMb();
        long accelerators = mAvailable.accelerators() - room.accelerators();
        if (milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0) {
            return mNow;
        }
        for (EndingRun run : runs) {
            milliCpu += run.room().milliCpu();
            memoryMb += run.room().memoryMb();
            accelerators += run.room().accelerators();
            if (milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0) {
                return end.applyAsLong(run);
            }
        }
        return NEVER;
    }

    /**
     * Reserves resources from a time on.
     *
     * @return resources that are left beside them at that time
     */
    Resources reserve(Resources room, long time) {
        mAvailable = mAvailable.minus(room);
        return mRuns.stream()
                .filter(run -> run.expectedEndFrom(mNow) <= time)
                .map(EndingRun::room)
                .reduce(mAvailable, Resources::plus);
    }
}
