package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.Resources;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.ManualClock;

/** The agent between its worker and the owner. */
class AgentSessionTest {
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final AgentSettings SETTINGS =
            new AgentSettings(
                    LEASE, Duration.ofSeconds(2), Duration.ofMillis(1_500), Duration.ofMillis(500));
    private static final TaskName TASK = TaskName.parse("a.0.0.1");

    private final ManualClock mClock = new ManualClock();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final FakeWorker mWorker = new FakeWorker(mClock);
    private final AgentSession mSession =
            new AgentSession(SETTINGS, mClock, mTimers, mWorker, DecisionLog.NONE);
    private final FakeOwner mOwner = new FakeOwner();

    /** Owner that records messages and answers pings while it is told to. */
    private final class FakeOwner implements Link {
        private final List<NodeMessage> mMessages = new ArrayList<>();
        private boolean mAnswersPings = true;
        private boolean mClosed;
        private long mLatestPing;

        @Override
        public void send(NodeMessage message) {
            mMessages.add(message);
            if (message instanceof NodeMessage.Ping ping && mAnswersPings) {
                mLatestPing = ping.number();
                mSession.received(new NodeMessage.Pong(ping.number()));
            }
        }

        @Override
        public void close(String reason) {
            mClosed = true;
        }

        @Override
        public String remoteAddress() {
            return "owner";
        }

        private <T> List<T> messagesOf(Class<T> type) {
            return mMessages.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    private static WorkerInfo info(long incarnation, boolean draining) {
        return new WorkerInfo(
                new WorkerId("w", incarnation),
                "svc",
                new Resources(8_000, 8_000, 0),
                List.of("a", "r"),
                "r",
                draining);
    }

    private static StartOrder order(long run, boolean filler) {
        return new StartOrder(
                TASK, run, "spec", "", new RunProfile(filler ? 0.4 : 0, 1, Duration.ZERO));
    }

    private void start(long permit, StartOrder order) {
        mSession.received(new NodeMessage.Start(new WorkerId("w", 1), permit, order));
    }

    private void pass(int millis) {
        for (int i = 0; i < millis; i += 100) {
            mTimers.pass(Duration.ofMillis(100));
            mWorker.answerWaitingRenewal();
        }
    }

    private StartOutcome lastOutcome() {
        return mOwner.messagesOf(NodeMessage.Outcome.class).getLast().outcome();
    }

    @BeforeEach
    void connect() {
        mClock.advance(Duration.ofSeconds(10));
        mSession.workerReported(info(1, false));
        mSession.connected(mOwner, 3);
        pass(1_000);
    }

    /** Guards against a report made before the worker refuses the orders of earlier owners. */
    @Test
    void reportFollowsAListUnderTheTermOfTheOwner() {
        assertThat(mWorker.mRenewals.getFirst().term()).isEqualTo(3);
        assertThat(mOwner.messagesOf(NodeMessage.Report.class)).hasSize(1);
        assertThat(mOwner.messagesOf(NodeMessage.Report.class).getFirst().report().listed())
                .isTrue();
    }

    /** Guards against leases beyond what the owner has allowed. */
    @Test
    void leaseEndsWithTheOwnersAnswers() {
        mOwner.mAnswersPings = false;
        long silentSince = mClock.monotonicMillis();
        pass(3_000);
        mWorker.mRenewals.stream()
                .filter(renewal -> renewal.leaseEndMillis().isPresent())
                .forEach(
                        renewal ->
                                assertThat(renewal.leaseEndMillis().getAsLong())
                                        .isAtMost(silentSince + LEASE.toMillis()));
    }

    /** Guards against an order that was held up on its way, for example by a partition. */
    @Test
    void orderWithAnOldPermitIsRefused() {
        long permit = mOwner.mLatestPing;
        pass(2_500);
        start(permit, order(1, false));
        assertThat(mWorker.mStarts).isEmpty();
        assertThat(lastOutcome()).isEqualTo(StartOutcome.NOT_PERMITTED);
    }

    /** Guards against a start after the agent has acknowledged that its worker drains. */
    @Test
    void drainingWorkerGetsNoStart() {
        mSession.workerReported(info(1, true));
        start(mOwner.mLatestPing, order(1, false));
        assertThat(mWorker.mStarts).isEmpty();
        assertThat(lastOutcome()).isEqualTo(StartOutcome.NOT_PERMITTED);
    }

    /** Guards against a start that a worker carries out long after it was ordered. */
    @Test
    void startCarriesAShortDeadline() {
        start(mOwner.mLatestPing, order(1, false));
        assertThat(mWorker.mStartDeadlines.getFirst())
                .isAtMost(mClock.monotonicMillis() + SETTINGS.startTimeout().toMillis());
        assertThat(lastOutcome()).isEqualTo(StartOutcome.STARTED);
    }

    /** Guards against giving up a start without an answer while it may still be carried out. */
    @Test
    void unansweredStartIsGivenUpAfterItsDeadline() {
        mWorker.mStartReply = new StartReply.NoAnswer("lost");
        start(mOwner.mLatestPing, order(1, false));
        pass(1_200);
        assertThat(mOwner.messagesOf(NodeMessage.Outcome.class)).isEmpty();
        pass(1_500);
        assertThat(lastOutcome()).isEqualTo(StartOutcome.NOT_STARTED);
    }

    /** Guards against a second run while an unanswered start was carried out late. */
    @Test
    void unansweredStartThatIsListedIsKept() {
        mWorker.mStartReply = new StartReply.NoAnswer("lost");
        start(mOwner.mLatestPing, order(1, false));
        pass(500);
        mWorker.mRunning.add(new RunningTask(TASK, 1, "", 5, 100));
        pass(3_000);
        assertThat(mOwner.messagesOf(NodeMessage.Outcome.class)).isEmpty();
        var running = mOwner.messagesOf(NodeMessage.Progress.class).getLast().running();
        assertThat(running).hasSize(1);
    }

    /** Guards against ends that the worker forgets before they are stored. */
    @Test
    void endsAreAcknowledgedOnlyWhenTheOwnerHasStoredThem() {
        mWorker.mEnded.add(new EndedTask(1, TASK, 1, EndKind.DONE, ""));
        pass(1_000);
        assertThat(mOwner.messagesOf(NodeMessage.Ends.class)).hasSize(1);
        assertThat(mWorker.mRenewals.getLast().acknowledgedEnd()).isEqualTo(0);
        mSession.received(new NodeMessage.EndsStored(1));
        pass(500);
        assertThat(mWorker.mRenewals.getLast().acknowledgedEnd()).isEqualTo(1);
    }

    /** Guards against tasks that stay assigned to a worker that no longer answers. */
    @Test
    void silentWorkerIsLostWhenItsLeaseIsOver() {
        start(mOwner.mLatestPing, order(1, false));
        mWorker.mSilent = true;
        pass(5_000);
        assertThat(mOwner.messagesOf(NodeMessage.WorkerLost.class)).isEmpty();
        pass(2_500);
        assertThat(mOwner.messagesOf(NodeMessage.WorkerLost.class)).hasSize(1);
        mWorker.mSilent = false;
        mWorker.mRunning.clear();
        pass(1_000);
        assertThat(mOwner.messagesOf(NodeMessage.Report.class)).hasSize(2);
    }

    /** Guards against a delayed report of an incarnation that has ended. */
    @Test
    void reportOfAnEarlierIncarnationIsIgnored() {
        mWorker.mIncarnation = 2;
        mSession.workerReported(info(2, false));
        mSession.workerReported(info(1, false));
        assertThat(mWorker.mRenewals.getLast().worker().incarnation()).isEqualTo(2);
    }

    /** Guards against an owner that has been replaced without noticing. */
    @Test
    void fencedAgentLeavesItsOwner() {
        mWorker.mWaitingReply.accept(new LeaseRenewalReply.Fenced());
        assertThat(mOwner.mClosed).isTrue();
    }

    /** Guards against fillers that harm a serving task. */
    @Test
    void fillersArePacedWhileAnObjectiveIsMissed() {
        start(mOwner.mLatestPing, order(1, true));
        TaskName serving = TaskName.parse("b.0.0.0");
        StartOrder order =
                new StartOrder(serving, 1, "spec", "", new RunProfile(0, 0, Duration.ofMillis(50)));
        start(mOwner.mLatestPing, order);
        mWorker.mRunning.removeIf(row -> row.task().equals(serving));
        mWorker.mRunning.add(new RunningTask(serving, 1, "", 100, 80));
        pass(2_000);
        assertThat(mWorker.mPaces).isInStrictOrder(java.util.Comparator.reverseOrder());
        assertThat(mWorker.mPaces.getLast()).isAtMost(20);
    }
}
