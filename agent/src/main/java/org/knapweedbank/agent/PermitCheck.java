package org.knapweedbank.agent;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.StartPermit;

/**
 * Checks start permits. A permit is valid while the age of the owner's configuration view at the
 * time of issue, plus the time since this agent sent the heartbeat that the permit refers to, is at
 * most three seconds. The owner had received that heartbeat when it issued the permit, so the sum
 * is an upper bound of the current age of the view, and no clocks need to be compared. Not
 * thread-safe.
 */
final class PermitCheck {
    static final Duration MAX_VIEW_AGE = Duration.ofSeconds(3);

    /**
     * Number of heartbeats whose send time is remembered. Within the maximum age there are four
     * regular heartbeats, and one more for each change of an upstream, which is sent immediately.
     */
    private static final int REMEMBERED_HEARTBEATS = 128;

    private final Clock mClock;
    private final long[] mSentNanos = new long[REMEMBERED_HEARTBEATS];
    private long mLastSeq;

    PermitCheck(Clock clock) {
        mClock = clock;
    }

    /**
     * Discards the heartbeats of an earlier session; the sequence numbers of a new session start at
     * 1.
     */
    void resetHeartbeats() {
        mLastSeq = 0;
    }

    /** Records the send time of a heartbeat. Must be called before the heartbeat is sent. */
    void recordHeartbeat(long seq) {
        mLastSeq = seq;
        mSentNanos[(int) (seq % REMEMBERED_HEARTBEATS)] = mClock.monotonicNanos();
    }

    /**
     * Returns the monotonic time at which a heartbeat of this session was sent, or empty if it is
     * unknown or no longer remembered.
     */
    Optional<Long> sentNanos(long seq) {
        boolean known = seq >= 1 && seq <= mLastSeq && seq > mLastSeq - REMEMBERED_HEARTBEATS;
        return known
                ? Optional.of(mSentNanos[(int) (seq % REMEMBERED_HEARTBEATS)])
                : Optional.empty();
    }

    /** Returns the reason to refuse a start now, or empty if the permit allows it. */
    Optional<String> refusal(StartPermit permit) {
        Optional<Long> sent = sentNanos(permit.heartbeatSeq());
        if (sent.isEmpty()) {
            return Optional.of("permit refers to an unknown heartbeat " + permit.heartbeatSeq());
        }
        if (permit.viewAgeMillis() < 0 || permit.viewAgeMillis() > MAX_VIEW_AGE.toMillis()) {
            return Optional.of("permit has a view age of " + permit.viewAgeMillis() + " ms");
        }
        long age =
                Duration.ofMillis(permit.viewAgeMillis()).toNanos()
                        + mClock.monotonicNanos()
                        - sent.get();
        return age > MAX_VIEW_AGE.toNanos()
                ? Optional.of("permit has expired: view is " + age / 1_000_000 + " ms old")
                : Optional.empty();
    }
}
