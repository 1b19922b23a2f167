package org.knapweedbank.agent;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.StartPermit;

/**
 * Rule for start permits: the age of the owner's view at the issue, plus the time since this agent
 * sent the heartbeat that the permit refers to, is at most three seconds. The owner had received
 * that heartbeat when it issued the permit, so the sum is an upper bound of the age of the view,
 * without a comparison of clocks. Not thread-safe.
 */
final class PermitCheck {
    static final Duration LIMIT = Duration.ofSeconds(3);

    /**
     * Heartbeats remembered. Those within the limit are four, and one more for each change of an
     * upstream, which is sent at once.
     */
    private static final int REMEMBERED = 128;

    private final Clock mClock;
    private final long[] mSentNanos = new long[REMEMBERED];
    private long mLastSeq;

    PermitCheck(Clock clock) {
        mClock = clock;
    }

    /** Forgets the heartbeats of an earlier session; sequence numbers start again. */
    void sessionOpened() {
        mLastSeq = 0;
    }

    /** Records that the next heartbeat is being sent; call it before the sending. */
    void heartbeatSent(long seq) {
        mLastSeq = seq;
        mSentNanos[(int) (seq % REMEMBERED)] = mClock.monotonicNanos();
    }

    /** When a heartbeat of this session was sent; empty if unknown or too old. */
    Optional<Long> sentNanos(long seq) {
        boolean known = seq >= 1 && seq <= mLastSeq && seq > mLastSeq - REMEMBERED;
        return known ? Optional.of(mSentNanos[(int) (seq % REMEMBERED)]) : Optional.empty();
    }

    /** Reason to refuse a start now, or empty if the permit allows it. */
    Optional<String> refusal(StartPermit permit) {
        Optional<Long> sent = sentNanos(permit.heartbeatSeq());
        if (sent.isEmpty()) {
            return Optional.of("permit refers to an unknown heartbeat " + permit.heartbeatSeq());
        }
        if (permit.viewAgeMillis() < 0 || permit.viewAgeMillis() > LIMIT.toMillis()) {
            return Optional.of("permit has a view age of " + permit.viewAgeMillis() + " ms");
        }
        long age =
                Duration.ofMillis(permit.viewAgeMillis()).toNanos()
                        + mClock.monotonicNanos()
                        - sent.get();
        return age > LIMIT.toNanos()
                ? Optional.of("permit has expired: view is " + age / 1_000_000 + " ms old")
                : Optional.empty();
    }
}
