package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.wire.ConfigAck;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.Goodbye;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskListRequest;
import org.knapweedbank.wire.UpstreamState;

class SessionDutyTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ControlFixture mAgent = new ControlFixture();

    /** Guards against a session that is opened at an entry which does not own the partition. */
    @Test
    void followsRedirectToTheOwner() {
        mAgent.connect();
        mAgent.mListener.message(new Redirect("owner:1", 3));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "owner:1").inOrder();
        assertThat(mAgent.mLinkClosed).isTrue();
        mAgent.openSession(3);
        assertThat(mAgent.mSessionTimer.isValid()).isTrue();
    }

    /** Guards against an endless chase between entries that redirect to each other. */
    @Test
    void consecutiveRedirectsAreBounded() {
        for (int i = 0; i < 20; i++) {
            mAgent.connect();
            mAgent.mListener.message(new Redirect("owner:1", 3));
        }
        assertThat(mAgent.mDialledAddresses)
                .containsExactly("seed-1:1", "owner:1", "owner:1", "owner:1")
                .inOrder();
    }

    /** Guards against a redirect to a former owner, and a partition without an owner. */
    @Test
    void staleOrEmptyRedirectFallsBackToSeeds() {
        mAgent.openSession(5);
        mAgent.mListener.message(new Redirect("former:1", 4));
        assertThat(mAgent.mDialledAddresses).doesNotContain("former:1");
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(SECOND);
        mAgent.connect();
        mAgent.mListener.message(new Redirect("", 5));
        mAgent.advance(SECOND);
        assertThat(mAgent.mDialledAddresses)
                .containsExactly("seed-1:1", "seed-2:1", "seed-1:1")
                .inOrder();
    }

    /** Guards against two owners: the one with the lower epoch gets no session. */
    @Test
    void sessionOfLowerEpochIsRejected() {
        mAgent.openSession(5);
        mAgent.mListener.closed();
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(SECOND);
        mAgent.connect();
        mAgent.mListener.message(new SessionGrant(0, 4, 30_000));
        assertThat(mAgent.mLinkClosed).isTrue();
        assertThat(mAgent.mLedger.epoch()).isEqualTo(5);
        mAgent.advance(SECOND);
        mAgent.openSession(6);
        assertThat(mAgent.mLedger.epoch()).isEqualTo(6);
    }

    /** Guards against events of a former connection acting on the present session. */
    @Test
    void eventsOfFormerConnectionAreIgnored() {
        mAgent.openSession(5);
        ControlLinkListener former = mAgent.mListener;
        former.message(new Goodbye("stopping"));
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(SECOND);
        mAgent.openSession(5);
        former.message(mAgent.start(5, 1, false));
        former.closed();
        former.message(new SessionGrant(0, 9, 30_000));
        assertThat(mAgent.mWorker.mStartedAttempts).isEmpty();
        assertThat(mAgent.mLedger.epoch()).isEqualTo(5);
        assertThat(mAgent.mLinkClosed).isFalse();
    }

    /** Guards against a session kept alive by the agent's own messages only. */
    @Test
    void unacknowledgedHeartbeatsEndConnectionAndThenSession() {
        mAgent.openSession(5);
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(6));
        assertThat(mAgent.mLinkClosed).isTrue();
        assertThat(mAgent.mDialledAddresses).contains("seed-2:1");
        mAgent.advance(Duration.ofSeconds(23));
        assertThat(mAgent.mSessionTimer.isValid()).isTrue();
        mAgent.advance(SECOND);
        assertThat(mAgent.mSessionTimer.isValid()).isFalse();
    }

    /** Guards against late or reordered acknowledgements extending the session too far. */
    @Test
    void acknowledgementExtendsSessionFromSendTime() {
        mAgent.openSession(5);
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(4));
        long last = mAgent.lastHeartbeat().seq();
        mAgent.mListener.message(new HeartbeatAck(last, 5, 1));
        mAgent.mListener.message(new HeartbeatAck(1, 5, 1));
        mAgent.mListener.message(new HeartbeatAck(last + 50, 5, 1));
        mAgent.mListener.message(new HeartbeatAck(last, 4, 1));
        mAgent.mClock.advance(Duration.ofMillis(29_699));
        assertThat(mAgent.mSessionTimer.isValid()).isTrue();
        mAgent.mClock.advance(Duration.ofMillis(1));
        assertThat(mAgent.mSessionTimer.isValid()).isFalse();
    }

    /** Guards against an agent that waits for ever at an entry which does not reply. */
    @Test
    void connectsToAnotherSeedWithoutGrant() {
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.connect();
        mAgent.advance(Duration.ofSeconds(5));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /** Guards against a result of a connection attempt that never arrives. */
    @Test
    void connectAttemptWithoutResultTimesOut() {
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(12));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /** Guards against a generation that goes back or is not confirmed. */
    @Test
    void configurationGenerationNeverDecreases() {
        mAgent.openSession(5);
        mAgent.mListener.message(new ConfigPush(7, List.of(), "{}"));
        mAgent.mListener.message(new ConfigPush(6, List.of(), "{}"));
        assertThat(mAgent.sent(ConfigAck.class).getLast().generation()).isEqualTo(7);
        assertThat(mAgent.mGenerations).containsExactly(1L, 7L).inOrder();
        mAgent.advance(SECOND);
        assertThat(mAgent.lastHeartbeat().generation()).isEqualTo(7);
    }

    /** Guards against a change of an upstream that is lost with its heartbeat. */
    @Test
    void upstreamChangeIsRepeatedUntilAcknowledged() {
        mAgent.openSession(5);
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.mSession.upstreamChanged(upstream(1, false));
        mAgent.advance(SECOND.multipliedBy(2));
        List<Heartbeat> heartbeats = mAgent.sent(Heartbeat.class);
        assertThat(heartbeats.getLast().upstreams()).hasSize(1);
        mAgent.acknowledgeLastHeartbeat();
        mAgent.advance(SECOND);
        assertThat(mAgent.lastHeartbeat().upstreams()).isEmpty();
        mAgent.mSession.upstreamChanged(upstream(3, true));
        mAgent.mSession.upstreamChanged(upstream(2, false));
        mAgent.mSession.heartbeat();
        assertThat(mAgent.lastHeartbeat().upstreams()).containsExactly(upstream(3, true));
    }

    /** Guards against a new owner that learns only of later changes. */
    @Test
    void firstHeartbeatOfSessionCarriesAllUpstreams() {
        mAgent.openSession(5);
        mAgent.mSession.upstreamChanged(upstream(1, false));
        mAgent.advance(SECOND.multipliedBy(2));
        mAgent.mListener.closed();
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(SECOND);
        mAgent.openSession(6);
        assertThat(mAgent.lastHeartbeat().seq()).isEqualTo(1);
        assertThat(mAgent.lastHeartbeat().upstreams()).containsExactly(upstream(1, false));
    }

    /** Guards against a task list that an owner of another epoch gets. */
    @Test
    void sendsTaskListOnlyToOwnerOfSession() {
        mAgent.openSession(5);
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(new TaskListRequest(4));
        assertThat(mAgent.sent(TaskList.class)).isEmpty();
        mAgent.mListener.message(new TaskListRequest(5));
        TaskList list = mAgent.sent(TaskList.class).getLast();
        assertThat(list.tasks()).hasSize(1);
        assertThat(list.seq()).isEqualTo(mAgent.lastHeartbeat().seq());
    }

    /** Guards against a session opened twice on one connection. */
    @Test
    void opensOneSessionPerConnection() {
        mAgent.openSession(5);
        mAgent.advance(SECOND);
        assertThat(mAgent.sent(SessionOpen.class)).hasSize(1);
        mAgent.mListener.message(new SessionGrant(0, 5, 30_000));
        assertThat(mAgent.lastHeartbeat().seq()).isGreaterThan(1);
    }

    private static UpstreamState upstream(long seq, boolean leaving) {
        return new UpstreamState("svc", "127.0.0.1:9", 8, 64, leaving, false, seq);
    }
}
