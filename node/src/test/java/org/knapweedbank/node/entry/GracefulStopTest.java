package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.time.ManualClock;

/** Tests the planned stop of an entry under load. */
class GracefulStopTest {
    private final ManualClock mClock = new ManualClock();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final List<String> mEvents = new ArrayList<>();
    private int mOpenRequests;

    private void stop() {
        new GracefulStop(mClock, mTimers, Duration.ofMillis(2_500), Duration.ofMillis(4_800))
                .run(
                        onDeregistered -> mEvents.add("leave"),
                        () -> mOpenRequests,
                        () -> mEvents.add("close"));
    }

    /**
     * Guards against a request without an answer: callers that the load balancer still sends after
     * the entry has deregistered must be served.
     */
    @Test
    void entryDeregistersBeforeListenersClose() {
        stop();
        assertThat(mEvents).containsExactly("leave");
        mTimers.advance(Duration.ofMillis(2_400));
        assertThat(mEvents).containsExactly("leave");
        mTimers.advance(Duration.ofMillis(200));
        assertThat(mEvents).containsExactly("leave", "close").inOrder();
    }

    /** Guards against closing the listeners while a request is open. */
    @Test
    void listenersStayOpenWhileARequestIsOpen() {
        mOpenRequests = 1;
        stop();
        mTimers.advance(Duration.ofMillis(4_000));
        assertThat(mEvents).containsExactly("leave");
        mOpenRequests = 0;
        mTimers.advance(Duration.ofMillis(200));
        assertThat(mEvents).contains("close");
    }

    /** Guards against a stop that never ends because a request stays open. */
    @Test
    void listenersAreClosedAfterTimeout() {
        mOpenRequests = 1;
        stop();
        mTimers.advance(Duration.ofMillis(5_000));
        assertThat(mEvents).contains("close");
    }
}
