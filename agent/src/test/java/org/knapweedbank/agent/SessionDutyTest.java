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

    /** Guards against a session with an entry that does not own the partition. */
    @Test
    void followsRedirectToTheOwner() {
        mAgent.connect();
        mAgent.mListener.message(new Redirect("owner:1", 3));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "owner:1").inOrder();
        assertThat(mAgent.mLinkClosed).isTrue();
        mAgent.openSession(3);
        assertThat(mAgent.mSessionTimer.isValid()).isTrue();
    }

    /** Guards against endless redirects between entries that redirect to each other. */
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

    /**
     * Guards against following a redirect to a former owner, and against waiting at an entry that
     * knows no owner.
     */
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

    /**
     * Guards against a session with a former owner: after a session under epoch 5, a grant under
     * epoch 4 must be rejected.
     */
    @Test
    void sessionOfLowerEpochIsRejected() {
        mAgent.openSession(5);
        mAgent.mListener.closed();
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(SECOND);
        mAgent.connect();
        mAgent.mListener.message(new SessionGrant(0, 4, 30_000));
        assertThat(mAgent.mLinkClosed).isTrue();
        assertThat(mAgent.mAttemptTable.epoch()).isEqualTo(5);
        mAgent.advance(SECOND);
        mAgent.openSession(6);
        assertThat(mAgent.mAttemptTable.epoch()).isEqualTo(6);
    }

    /** Guards against events of a former connection that affect the current session. */
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
        assertThat(mAgent.mAttemptTable.epoch()).isEqualTo(5);
        assertThat(mAgent.mLinkClosed).isFalse();
    }

    /** Guards against a session that stays valid although the owner acknowledges no heartbeats. */
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

    /**
     * Guards against late, reordered or invalid acknowledgements that extend the session beyond the
     * time to live after the acknowledged heartbeat was sent.
     */
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

    /**
     * Guards against an agent that waits indefinitely for a grant from an entry that does not
     * reply.
     */
    @Test
    void connectsToAnotherSeedWithoutGrant() {
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.connect();
        mAgent.advance(Duration.ofSeconds(5));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /** Guards against an agent that waits indefinitely for the result of a connection attempt. */
    @Test
    void connectAttemptWithoutResultTimesOut() {
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(12));
        assertThat(mAgent.mDialledAddresses).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /**
     * Guards against a configuration generation that decreases or is not confirmed to the entry.
     */
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

    /**
     * Guards against a change of an upstream that is lost together with the heartbeat that carried
     * it, or overwritten by an older change.
     */
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

    /**
     * Guards against a new owner that learns only of upstream changes made after the start of its
     * session.
     */
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

    /** Guards against a task list that is sent to an owner of another epoch. */
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

    /**
     * Guards against opening a session twice on one connection, and against a repeated grant that
     * restarts the heartbeat sequence.
     */
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
