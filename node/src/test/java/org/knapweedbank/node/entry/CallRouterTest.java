package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.model.JobId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.ManualClock;

/** Passing of callers' requests while owners come and go. */
class CallRouterTest {
    private static final QueueKey QUEUE = new QueueKey("h", "/q/");
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");
    private static final Duration LIMIT = Duration.ofSeconds(3);

    private final ManualTimers mTimers = new ManualTimers(new ManualClock());
    private final CallRouter mRouter = new CallRouter(mTimers, DecisionLog.NONE);
    private final List<CallAnswer> mAnswers = new ArrayList<>();

    /** Link to an owner that records calls. */
    private static final class Owner implements Link {
        private final List<NodeMessage.Call> mCalls = new ArrayList<>();

        @Override
        public void send(NodeMessage message) {
            mCalls.add((NodeMessage.Call) message);
        }

        @Override
        public void close(String reason) {}

        @Override
        public String remoteAddress() {
            return "owner";
        }
    }

    private void cancel() {
        mRouter.call(new CallRequest.Cancel(QUEUE, JOB), LIMIT, mAnswers::add);
    }

    /** Guards against a request that is held to its limit though nobody can serve it. */
    @Test
    void requestIsRefusedSoonWhenThereIsNoOwner() {
        cancel();
        mTimers.pass(Duration.ofMillis(300));
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.Refused.class);
    }

    /** Guards against a request that is lost with the owner that it went to. */
    @Test
    void requestWithoutAnAnswerIsRepeatedAtTheNextOwner() {
        Owner first = new Owner();
        Owner second = new Owner();
        mRouter.setRemoteOwner(first);
        cancel();
        mRouter.setRemoteOwner(null);
        mTimers.pass(Duration.ofSeconds(1));
        mRouter.setRemoteOwner(second);
        assertThat(second.mCalls).isEqualTo(first.mCalls);
        mRouter.complete(second.mCalls.getFirst().number(), new CallAnswer.Accepted());
        assertThat(mAnswers).containsExactly(new CallAnswer.Accepted());
    }

    /** Guards against "not done" for a change that an owner may have made. */
    @Test
    void changeThatWasSentIsUnknownWhenItsTimeIsUp() {
        mRouter.setRemoteOwner(new Owner());
        cancel();
        mTimers.pass(LIMIT);
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.OutcomeUnknown.class);
    }

    /** Guards against "unknown" for a read, which changes nothing. */
    @Test
    void readThatWasSentIsRefusedWhenItsTimeIsUp() {
        mRouter.setRemoteOwner(new Owner());
        mRouter.call(new CallRequest.Read(QUEUE, JOB), LIMIT, mAnswers::add);
        mTimers.pass(LIMIT);
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.Refused.class);
    }

    /** Guards against two answers to one request. */
    @Test
    void lateAnswerIsIgnored() {
        Owner owner = new Owner();
        mRouter.setRemoteOwner(owner);
        mRouter.call(new CallRequest.Read(QUEUE, JOB), LIMIT, mAnswers::add);
        mTimers.pass(LIMIT);
        mRouter.complete(owner.mCalls.getFirst().number(), new CallAnswer.State(JobState.RUNNING));
        assertThat(mAnswers).hasSize(1);
    }
}
