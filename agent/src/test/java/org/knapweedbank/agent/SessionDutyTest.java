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
        mAgent.mPeer.message(new Redirect("owner:1", 3));
        assertThat(mAgent.mDialled).containsExactly("seed-1:1", "owner:1").inOrder();
        assertThat(mAgent.mClosed).isTrue();
        mAgent.open(3);
        assertThat(mAgent.mTimer.valid()).isTrue();
    }

    /** Guards against an endless chase between entries that redirect to each other. */
    @Test
    void redirectsInARowAreBounded() {
        for (int i = 0; i < 20; i++) {
            mAgent.connect();
            mAgent.mPeer.message(new Redirect("owner:1", 3));
        }
        assertThat(mAgent.mDialled)
                .containsExactly("seed-1:1", "owner:1", "owner:1", "owner:1")
                .inOrder();
    }

    /** Guards against a redirect to a former owner, and a partition without an owner. */
    @Test
    void uselessRedirectLeadsBackToTheSeeds() {
        mAgent.open(5);
        mAgent.mPeer.message(new Redirect("former:1", 4));
        assertThat(mAgent.mDialled).doesNotContain("former:1");
        mAgent.mAcknowledges = false;
        mAgent.pass(SECOND);
        mAgent.connect();
        mAgent.mPeer.message(new Redirect("", 5));
        mAgent.pass(SECOND);
        assertThat(mAgent.mDialled).containsExactly("seed-1:1", "seed-2:1", "seed-1:1").inOrder();
    }

    /** Guards against two owners: the one with the lower epoch gets no session. */
    @Test
    void highestEpochWins() {
        mAgent.open(5);
        mAgent.mPeer.closed();
        mAgent.mAcknowledges = false;
        mAgent.pass(SECOND);
        mAgent.connect();
        mAgent.mPeer.message(new SessionGrant(0, 4, 30_000));
        assertThat(mAgent.mClosed).isTrue();
        assertThat(mAgent.mLedger.epoch()).isEqualTo(5);
        mAgent.pass(SECOND);
        mAgent.open(6);
        assertThat(mAgent.mLedger.epoch()).isEqualTo(6);
    }

    /** Guards against events of a former connection acting on the present session. */
    @Test
    void eventsOfFormerConnectionAreIgnored() {
        mAgent.open(5);
        ControlLinkListener former = mAgent.mPeer;
        former.message(new Goodbye("stopping"));
        mAgent.mAcknowledges = false;
        mAgent.pass(SECOND);
        mAgent.open(5);
        former.message(mAgent.start(5, 1, false));
        former.closed();
        former.message(new SessionGrant(0, 9, 30_000));
        assertThat(mAgent.mWorker.mStarts).isEmpty();
        assertThat(mAgent.mLedger.epoch()).isEqualTo(5);
        assertThat(mAgent.mClosed).isFalse();
    }

    /** Guards against a session kept alive by the agent's own messages only. */
    @Test
    void silentOwnerLosesTheConnectionAndThenTheSession() {
        mAgent.open(5);
        mAgent.mAcknowledges = false;
        mAgent.pass(Duration.ofSeconds(6));
        assertThat(mAgent.mClosed).isTrue();
        assertThat(mAgent.mDialled).contains("seed-2:1");
        mAgent.pass(Duration.ofSeconds(23));
        assertThat(mAgent.mTimer.valid()).isTrue();
        mAgent.pass(SECOND);
        assertThat(mAgent.mTimer.valid()).isFalse();
    }

    /** Guards against late or reordered acknowledgements extending the session too far. */
    @Test
    void lateAcknowledgementCountsFromTheSending() {
        mAgent.open(5);
        mAgent.mAcknowledges = false;
        mAgent.pass(Duration.ofSeconds(4));
        long last = mAgent.lastHeartbeat().seq();
        mAgent.mPeer.message(new HeartbeatAck(last, 5, 1));
        mAgent.mPeer.message(new HeartbeatAck(1, 5, 1));
        mAgent.mPeer.message(new HeartbeatAck(last + 50, 5, 1));
        mAgent.mPeer.message(new HeartbeatAck(last, 4, 1));
        mAgent.mClock.advance(Duration.ofMillis(29_699));
        assertThat(mAgent.mTimer.valid()).isTrue();
        mAgent.mClock.advance(Duration.ofMillis(1));
        assertThat(mAgent.mTimer.valid()).isFalse();
    }

    /** Guards against an agent that waits for ever at an entry which does not reply. */
    @Test
    void asksAnotherSeedWithoutGrant() {
        mAgent.mAcknowledges = false;
        mAgent.connect();
        mAgent.pass(Duration.ofSeconds(5));
        assertThat(mAgent.mDialled).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /** Guards against a result of a connection attempt that never arrives. */
    @Test
    void givesUpAnAttemptWithoutResult() {
        mAgent.mAcknowledges = false;
        mAgent.pass(Duration.ofSeconds(12));
        assertThat(mAgent.mDialled).containsExactly("seed-1:1", "seed-2:1").inOrder();
    }

    /** Guards against a generation that goes back or is not confirmed. */
    @Test
    void generationNeverGoesBack() {
        mAgent.open(5);
        mAgent.mPeer.message(new ConfigPush(7, List.of(), "{}"));
        mAgent.mPeer.message(new ConfigPush(6, List.of(), "{}"));
        assertThat(mAgent.sent(ConfigAck.class).getLast().generation()).isEqualTo(7);
        assertThat(mAgent.mGenerations).containsExactly(1L, 7L).inOrder();
        mAgent.pass(SECOND);
        assertThat(mAgent.lastHeartbeat().generation()).isEqualTo(7);
    }

    /** Guards against a change of an upstream that is lost with its heartbeat. */
    @Test
    void upstreamChangeIsRepeatedUntilAcknowledged() {
        mAgent.open(5);
        mAgent.mAcknowledges = false;
        mAgent.mSession.upstreamChanged(upstream(1, false));
        mAgent.pass(SECOND.multipliedBy(2));
        List<Heartbeat> heartbeats = mAgent.sent(Heartbeat.class);
        assertThat(heartbeats.getLast().upstreams()).hasSize(1);
        mAgent.acknowledge();
        mAgent.pass(SECOND);
        assertThat(mAgent.lastHeartbeat().upstreams()).isEmpty();
        mAgent.mSession.upstreamChanged(upstream(3, true));
        mAgent.mSession.upstreamChanged(upstream(2, false));
        mAgent.mSession.heartbeat();
        assertThat(mAgent.lastHeartbeat().upstreams()).containsExactly(upstream(3, true));
    }

    /** Guards against a new owner that learns only of later changes. */
    @Test
    void firstHeartbeatOfSessionCarriesAllUpstreams() {
        mAgent.open(5);
        mAgent.mSession.upstreamChanged(upstream(1, false));
        mAgent.pass(SECOND.multipliedBy(2));
        mAgent.mPeer.closed();
        mAgent.mAcknowledges = false;
        mAgent.pass(SECOND);
        mAgent.open(6);
        assertThat(mAgent.lastHeartbeat().seq()).isEqualTo(1);
        assertThat(mAgent.lastHeartbeat().upstreams()).containsExactly(upstream(1, false));
    }

    /** Guards against a task list that an owner of another epoch gets. */
    @Test
    void sendsTaskListOnRequestOfTheOwner() {
        mAgent.open(5);
        mAgent.mPeer.message(mAgent.start(5, 1, false));
        mAgent.mPeer.message(new TaskListRequest(4));
        assertThat(mAgent.sent(TaskList.class)).isEmpty();
        mAgent.mPeer.message(new TaskListRequest(5));
        TaskList list = mAgent.sent(TaskList.class).getLast();
        assertThat(list.tasks()).hasSize(1);
        assertThat(list.seq()).isEqualTo(mAgent.lastHeartbeat().seq());
    }

    /** Guards against a session opened twice on one connection. */
    @Test
    void opensOneSessionPerConnection() {
        mAgent.open(5);
        mAgent.pass(SECOND);
        assertThat(mAgent.sent(SessionOpen.class)).hasSize(1);
        mAgent.mPeer.message(new SessionGrant(0, 5, 30_000));
        assertThat(mAgent.lastHeartbeat().seq()).isGreaterThan(1);
    }

    private static UpstreamState upstream(long seq, boolean leaving) {
        return new UpstreamState("svc", "127.0.0.1:9", 8, 64, leaving, false, seq);
    }
}
