package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.knapweedbank.time.ManualClock;

class SessionTimerTest {
    private final ManualClock mClock = new ManualClock();
    private final SessionTimer mTimer = new SessionTimer(mClock);

    /**
     * Guards against task leases that outlast the time after which the owner places the tasks
     * again.
     */
    @Test
    void taskLeasesHaveSessionTimeToLive() {
        mTimer.recordGrant(mClock.monotonicNanos(), Duration.ofSeconds(6));
        assertThat(mTimer.leaseTtl()).isEqualTo(Duration.ofSeconds(6));
    }

    /**
     * Guards against a session that the agent considers valid after the owner may have assumed its
     * end.
     */
    @Test
    void sessionEndsBeforeTimeToLiveOfLastAcknowledgedHeartbeat() {
        mTimer.recordGrant(mClock.monotonicNanos(), Duration.ofSeconds(6));
        mClock.advance(Duration.ofMillis(5_930));
        assertThat(mTimer.isValid()).isTrue();
        mClock.advance(Duration.ofMillis(11));
        assertThat(mTimer.isValid()).isFalse();
    }
}
