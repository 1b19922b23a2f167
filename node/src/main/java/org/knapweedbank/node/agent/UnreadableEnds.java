package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.time.Clock;

/**
 * Holds back the ends that a worker lists after one that could not be read. Ends are acknowledged
 * up to a number, so a later one would discard the unread one, which may be readable in the next
 * list. An end that stays unreadable must not hold the others back for good.
 */
final class UnreadableEnds {
    private static final Duration MAX_HOLD_TIME = Duration.ofSeconds(2);

    private static final long NONE = -1;

    private final Clock mClock;

    /** Monotonic time in milliseconds since which lists have been incomplete. */
    private long mIncompleteSinceMillis = NONE;

    UnreadableEnds(Clock clock) {
        mClock = clock;
    }

    /**
     * Returns the listed ends that may be acknowledged.
     *
     * @param highestReported highest number of an end that was listed before
     */
    List<EndedRun> withoutHeldBack(LeaseRenewalReply.Renewed renewed, long highestReported) {
        if (renewed.complete()) {
            mIncompleteSinceMillis = NONE;
            return renewed.ended();
        }
        long nowMillis = mClock.monotonicMillis();
        if (mIncompleteSinceMillis == NONE) {
            mIncompleteSinceMillis = nowMillis;
        }
        return nowMillis - mIncompleteSinceMillis >= MAX_HOLD_TIME.toMillis()
                ? renewed.ended()
                : withoutGap(renewed.ended(), highestReported);
    }

    /** Returns the ends before the first missing number. */
    private static List<EndedRun> withoutGap(List<EndedRun> ended, long highestReported) {
        List<EndedRun> inOrder =
                ended.stream().sorted(Comparator.comparingLong(EndedRun::number)).toList();
        List<EndedRun> contiguous = new ArrayList<>();
        long last = highestReported;
        for (EndedRun end : inOrder) {
            if (end.number() > last + 1) {
                break;
            }
            contiguous.add(end);
            last = Math.max(last, end.number());
        }
        return contiguous;
    }
}
