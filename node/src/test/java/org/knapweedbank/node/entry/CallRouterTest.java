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

/** Tests the routing of callers' requests while the owner changes. */
class CallRouterTest {
    private static final QueueKey QUEUE = new QueueKey("h", "/q/");
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final ManualTimers mTimers = new ManualTimers(new ManualClock());
    private final CallRouter mRouter = new CallRouter(mTimers, DecisionLog.NONE);
    private final List<CallAnswer> mAnswers = new ArrayList<>();

    /** Link to an owner that records the calls sent to it. */
    private static final class RecordingOwner implements Link {
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

    private void callCancel() {
        mRouter.call(new CallRequest.Cancel(QUEUE, JOB), TIMEOUT, mAnswers::add);
    }

    /** Guards against a request that waits until its timeout although there is no owner. */
    @Test
    void requestIsRefusedSoonWithoutOwner() {
        callCancel();
        mTimers.advance(Duration.ofMillis(300));
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.Refused.class);
    }

    /** Guards against a request that is lost together with the owner that it was sent to. */
    @Test
    void unansweredRequestIsRepeatedAtNextOwner() {
        RecordingOwner first = new RecordingOwner();
        RecordingOwner second = new RecordingOwner();
        mRouter.setRemoteOwner(first);
        callCancel();
        mRouter.setRemoteOwner(null);
        mTimers.advance(Duration.ofSeconds(1));
        mRouter.setRemoteOwner(second);
        assertThat(second.mCalls).isEqualTo(first.mCalls);
        mRouter.complete(second.mCalls.getFirst().number(), new CallAnswer.Accepted());
        assertThat(mAnswers).containsExactly(new CallAnswer.Accepted());
    }

    /** Guards against a refusal of a change that an owner may have made. */
    @Test
    void sentChangeHasUnknownOutcomeAfterTimeout() {
        mRouter.setRemoteOwner(new RecordingOwner());
        callCancel();
        mTimers.advance(TIMEOUT);
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.OutcomeUnknown.class);
    }

    /** Guards against an unknown outcome of a read, which changes nothing. */
    @Test
    void sentReadIsRefusedAfterTimeout() {
        mRouter.setRemoteOwner(new RecordingOwner());
        mRouter.call(new CallRequest.Read(QUEUE, JOB), TIMEOUT, mAnswers::add);
        mTimers.advance(TIMEOUT);
        assertThat(mAnswers.getFirst()).isInstanceOf(CallAnswer.Refused.class);
    }

    /** Guards against two answers to one request: the owner answers after the timeout. */
    @Test
    void lateAnswerIsIgnored() {
        RecordingOwner owner = new RecordingOwner();
        mRouter.setRemoteOwner(owner);
        mRouter.call(new CallRequest.Read(QUEUE, JOB), TIMEOUT, mAnswers::add);
        mTimers.advance(TIMEOUT);
        mRouter.complete(owner.mCalls.getFirst().number(), new CallAnswer.State(JobState.RUNNING));
        assertThat(mAnswers).hasSize(1);
    }
}
