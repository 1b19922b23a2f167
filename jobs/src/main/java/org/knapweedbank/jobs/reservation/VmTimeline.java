package org.knapweedbank.jobs.reservation;

import java.util.ArrayList;
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
    private final long mHorizon;

    /** Expected ends up to the horizon, in order of time. */
    private final List<RoomRelease> mExpectedEnds;

    private Resources mAvailable;

    /**
     * Creates the timeline of a VM.
     *
     * @param horizon monotonic time in milliseconds up to which ends are considered
     */
    VmTimeline(VmRoom vm, long now, long horizon) {
        mVm = vm;
        mNow = now;
        mHorizon = horizon;
        mExpectedEnds = releases(run -> run.expectedEndFrom(now));
        mAvailable = vm.unreserved();
    }

    /** Returns when the resources are expected to be free, {@link #NEVER} if they are not. */
    long earliestStart(Resources room) {
        return startAfter(mExpectedEnds, room);
    }

    /** Returns when the resources are very likely free, {@link #NEVER} if they are not. */
    long latestStart(Resources room) {
        return startAfter(releases(run -> run.latestEndFrom(mNow)), room);
    }

    private List<RoomRelease> releases(ToLongFunction<EndingRun> endOf) {
        List<RoomRelease> releases = new ArrayList<>(mVm.runs().size());
        for (EndingRun run : mVm.runs()) {
            long at = endOf.applyAsLong(run);
            if (at <= mHorizon) {
                releases.add(new RoomRelease(at, run.room()));
            }
        }
        releases.sort(Comparator.comparingLong(RoomRelease::at));
        return releases;
    }

    private long startAfter(List<RoomRelease> releases, Resources room) {
        long milliCpu = mAvailable.milliCpu() - room.milliCpu();
        long memoryMb = mAvailable.memoryMb() - room.memoryMb();
        long accelerators = mAvailable.accelerators() - room.accelerators();
        if (milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0) {
            return mNow;
        }
        for (RoomRelease release : releases) {
            milliCpu += release.room().milliCpu();
            memoryMb += release.room().memoryMb();
            accelerators += release.room().accelerators();
            if (milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0) {
                return release.at();
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
        return mExpectedEnds.stream()
                .filter(release -> release.at() <= time)
                .map(RoomRelease::room)
                .reduce(mAvailable, Resources::plus);
    }

    /** Resources that become free at a time, in monotonic milliseconds. */
    private record RoomRelease(long at, Resources room) {}
}
