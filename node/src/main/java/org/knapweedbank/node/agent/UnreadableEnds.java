package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.time.Clock;

/**
 * Holds back the ends that a worker lists after one that could not be read. Ends are acknowledged
 * up to a number, so a later one would discard the unread one, which may be readable in the next
 * list. An end that stays unreadable must not hold the others back for good.
 */
final class UnreadableEnds {
    static final Duration MAX_HOLD_TIME = Duration.ofSeconds(2);

    /**
     * Longest time between two lists that counts as hold time. Lists come every half second or more
     * often; a silence gives an unread end no chance to be read.
     */
    private static final Duration MAX_COUNTED_INTERVAL = Duration.ofSeconds(1);

    private final Clock mClock;

    /** Worker whose lists came last; null if there were none. */
    private WorkerId mWorker;

    /** Monotonic time in milliseconds of the last list that was incomplete. */
    private long mLastIncompleteAtMillis;

    /**
     * Time in milliseconds for which ends have been held back, by the number of the unread end or
     * of the first of several in sequence.
     */
    private Map<Long, Long> mHoldMillis = Map.of();

    UnreadableEnds(Clock clock) {
        mClock = clock;
    }

    /**
     * Returns the listed ends that may be acknowledged.
     *
     * @param worker worker that has listed them
     * @param highestReported highest number of an end that this worker has listed before
     */
    List<EndedRun> withoutHeldBack(
            WorkerId worker, LeaseRenewalReply.Renewed renewed, long highestReported) {
        if (renewed.complete() || !worker.equals(mWorker)) {
            mWorker = worker;
            mHoldMillis = Map.of();
        }
        return renewed.complete()
                ? renewed.ended()
                : withoutRecentGaps(renewed.ended(), highestReported);
    }

    /** Returns the ends before the first missing number that has not been awaited long enough. */
    private List<EndedRun> withoutRecentGaps(List<EndedRun> ended, long highestReported) {
        long nowMillis = mClock.monotonicMillis();
        long intervalMillis =
                Math.min(nowMillis - mLastIncompleteAtMillis, MAX_COUNTED_INTERVAL.toMillis());
        mLastIncompleteAtMillis = nowMillis;
        Map<Long, Long> holdMillis = new HashMap<>();
        List<EndedRun> released = new ArrayList<>();
        boolean held = false;
        long last = highestReported;
        for (EndedRun end : inOrder(ended)) {
            long next = last + 1;
            if (end.number() > next) {
                Long before = mHoldMillis.get(next);
                holdMillis.put(next, before == null ? 0 : before + intervalMillis);
                held |= holdMillis.get(next) < MAX_HOLD_TIME.toMillis();
            }
            if (!held) {
                released.add(end);
            }
            last = Math.max(last, end.number());
        }
        mHoldMillis = holdMillis;
        return released;
    }

    private static List<EndedRun> inOrder(List<EndedRun> ended) {
        return ended.stream().sorted(Comparator.comparingLong(EndedRun::number)).toList();
    }
}
