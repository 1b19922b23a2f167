package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.agent.FakeWorker.Mode;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StartPermit;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.ThrottleTask;
import org.knapweedbank.worker.TaskState;

class TaskDutyTest {
    private static final TaskId TASK = ControlFixture.TASK;
    private static final AttemptId FIRST = new AttemptId(TASK, 1);
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ControlFixture mAgent = new ControlFixture().openSession(5);
    private final FakeWorker mWorker = mAgent.mWorker;

    /** Guards against an attempt that runs twice after a duplicated start command. */
    @Test
    void duplicateStartRunsOnce() {
        StartTask start = mAgent.start(5, 1, false);
        mAgent.mListener.message(start);
        mAgent.mListener.message(start);
        assertThat(mWorker.mStartedAttempts).containsExactly(FIRST);
        assertState(TaskReportState.RUNNING);
        assertThat(mAgent.mAttemptTable.digest()).isEqualTo(TaskDigest.of(TASK, 1));
    }

    /**
     * Guards against a lost report that is never sent again, and a report that is repeated after
     * its acknowledgement.
     */
    @Test
    void repeatsReportUntilAcknowledged() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.advance(TaskDuty.RESEND_INTERVAL.multipliedBy(3));
        assertThat(mAgent.sent(TaskReport.class)).hasSize(4);
        mAgent.ackLastReport();
        mAgent.advance(TaskDuty.RESEND_INTERVAL.multipliedBy(3));
        assertThat(mAgent.sent(TaskReport.class)).hasSize(4);
    }

    /**
     * Guards against a finished attempt that is removed at the worker before the owner has recorded
     * its end. The acknowledgement of an earlier state must not remove it.
     */
    @Test
    void forgetsFinishedAttemptOnlyAfterAcknowledgement() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mWorker.setTask(FIRST, TaskState.FINISHED, "");
        mAgent.advance(SECOND);
        assertState(TaskReportState.FINISHED);
        mAgent.mListener.message(new ReportAck(TASK, 1, TaskReportState.RUNNING));
        assertThat(mWorker.mTasks).containsKey(FIRST);
        mAgent.ackLastReport();
        assertThat(mWorker.mTasks).isEmpty();
        assertThat(mAgent.mAttemptTable.used()).isEqualTo(Resources.NONE);
        assertThat(mAgent.mAttemptTable.digest()).isEqualTo(TaskDigest.EMPTY);
    }

    /**
     * Guards against an ended attempt that is started again by a late duplicate of its start
     * command.
     */
    @Test
    void lateStartOfEndedAttemptIsIgnored() {
        StartTask start = mAgent.start(5, 1, false);
        mAgent.mListener.message(start);
        mWorker.setTask(FIRST, TaskState.FINISHED, "");
        mAgent.advance(SECOND);
        mAgent.ackLastReport();
        mAgent.mListener.message(start);
        mAgent.advance(SECOND);
        assertThat(mWorker.mStartedAttempts).containsExactly(FIRST);
    }

    /** Guards against a late start command of an attempt that was replaced by a newer one. */
    @Test
    void startOfOlderAttemptIsIgnored() {
        mAgent.mListener.message(mAgent.start(5, 2, false));
        mAgent.mListener.message(mAgent.start(5, 1, false));
        assertThat(mWorker.mStartedAttempts).containsExactly(new AttemptId(TASK, 2));
    }

    /** Guards against two attempts of a task that run at the same time. */
    @Test
    void newAttemptIsRefusedWhileEarlierAttemptRuns() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(mAgent.start(5, 2, false));
        assertThat(mWorker.mStartedAttempts).containsExactly(FIRST);
        assertState(TaskReportState.NOT_STARTED);
    }

    /** Guards against exceeding the capacity of the VM when the owner's record of it is wrong. */
    @Test
    void startBeyondCapacityIsRefused() {
        for (int i = 1; i <= 3; i++) {
            mAgent.mListener.message(mAgent.start(5, TaskId.parse("job/" + i), 1, false));
        }
        assertThat(mWorker.mStartedAttempts).hasSize(2);
        assertState(TaskReportState.NOT_STARTED);
        assertThat(mAgent.lastReport().detail()).contains("capacity");
    }

    /**
     * Guards against a start that was refused and takes effect when a duplicate of it arrives
     * later.
     */
    @Test
    void copyOfRefusedStartDoesNotRun() {
        mWorker.mMode = Mode.REFUSES;
        StartTask start = mAgent.start(5, 1, false);
        mAgent.mListener.message(start);
        assertState(TaskReportState.NOT_STARTED);
        mWorker.mMode = Mode.SUCCEEDS;
        mAgent.mListener.message(start);
        mAgent.ackLastReport();
        mAgent.mListener.message(start);
        assertThat(mWorker.mStartedAttempts).isEmpty();
    }

    /** Guards against a start that takes effect although the stop command for it arrived first. */
    @Test
    void stopBeforeStartPreventsTheStart() {
        StartTask start = mAgent.start(5, 1, false);
        mAgent.mListener.message(new StopTask(5, TASK, 1));
        mAgent.mListener.message(start);
        assertThat(mWorker.mStartedAttempts).isEmpty();
        assertState(TaskReportState.NOT_STARTED);
    }

    /**
     * Guards against a start after its permit has expired, for example because the agent was
     * paused.
     */
    @Test
    void expiredPermitIsRefused() {
        StartTask start = mAgent.start(5, 1, false);
        mAgent.mClock.advance(Duration.ofMillis(2501));
        mAgent.mListener.message(start);
        assertThat(mWorker.mStartedAttempts).isEmpty();
        assertThat(mAgent.lastReport().detail()).contains("permit has expired");
    }

    /** Guards against accepting a permit that refers to a heartbeat that was never sent. */
    @Test
    void permitOfUnknownHeartbeatIsRefused() {
        StartPermit permit = new StartPermit(99, 0, 1);
        mAgent.mListener.message(
                new StartTask(5, TASK, 1, ControlFixture.SIZE, false, List.of("run"), "", permit));
        assertThat(mWorker.mStartedAttempts).isEmpty();
        assertState(TaskReportState.NOT_STARTED);
    }

    /**
     * Guards against a start in a data centre that is out of service, and against an older
     * configuration that reverts the removal.
     */
    @Test
    void removedDataCentreRefusesStarts() {
        mAgent.mListener.message(new ConfigPush(2, List.of(ControlFixture.DATA_CENTRE), "{}"));
        mAgent.mListener.message(new ConfigPush(1, List.of(), "{}"));
        mAgent.mListener.message(mAgent.start(5, 1, false));
        assertThat(mWorker.mStartedAttempts).isEmpty();
        assertThat(mAgent.lastReport().detail()).contains("out of service");
    }

    /** Guards against executing commands of a former owner. */
    @Test
    void lowerEpochIsRejected() {
        mAgent.mListener.message(mAgent.start(4, 1, false));
        assertThat(mWorker.mStartedAttempts).isEmpty();
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(new StopTask(4, TASK, 1));
        mAgent.mListener.message(new CheckpointTask(4, TASK, 1));
        assertThat(mWorker.runningCount()).isEqualTo(1);
        assertThat(mAgent.mSession.rejectedMessages()).isEqualTo(3);
    }

    /**
     * Guards against reporting an attempt as not started that runs because only the answer of its
     * start call was lost.
     */
    @Test
    void startWithLostAnswerIsFoundInWorkerList() {
        mWorker.mMode = Mode.LOSES_ANSWER;
        mAgent.mListener.message(mAgent.start(5, 1, false));
        assertThat(mAgent.sent(TaskReport.class)).isEmpty();
        mAgent.advance(SECOND);
        assertState(TaskReportState.RUNNING);
        assertThat(mWorker.mStartedAttempts).containsExactly(FIRST);
    }

    /** Guards against reporting a lost start call as not started while it may still take effect. */
    @Test
    void lostStartIsReportedOnlyAfterItCanNoLongerTakeEffect() {
        mWorker.mMode = Mode.LOSES_CALL;
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.advance(TaskDuty.START_SETTLE_TIME);
        assertThat(mAgent.sent(TaskReport.class)).isEmpty();
        mAgent.advance(Duration.ofSeconds(5));
        assertState(TaskReportState.NOT_STARTED);
    }

    /**
     * Guards against reporting an attempt as not started because a retry was refused, while an
     * earlier start call without an answer may have taken effect.
     */
    @Test
    void refusalAfterLostAnswerIsNotReportedAsNotStarted() {
        mWorker.mMode = Mode.LOSES_CALL;
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mWorker.mMode = Mode.REFUSES;
        mAgent.advance(SECOND);
        assertThat(mAgent.sent(TaskReport.class)).isEmpty();
        mWorker.setTask(FIRST, TaskState.RUNNING, "");
        mAgent.advance(SECOND);
        assertState(TaskReportState.RUNNING);
    }

    /**
     * Guards against a start call that is retried after the permit has expired because the worker
     * was unreachable before.
     */
    @Test
    void startIsRetriedOnlyWhilePermitIsValid() {
        mWorker.mMode = Mode.UNAVAILABLE;
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.advance(Duration.ofSeconds(4));
        assertState(TaskReportState.NOT_STARTED);
        mWorker.mMode = Mode.SUCCEEDS;
        mAgent.advance(Duration.ofSeconds(4));
        assertThat(mWorker.mStartedAttempts).isEmpty();
    }

    /**
     * Guards against an attempt that appears at the worker after it was reported as not started,
     * and would run at the same time as its replacement.
     */
    @Test
    void attemptThatAppearsAfterItsRefusalIsStopped() {
        mWorker.mMode = Mode.REFUSES;
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.ackLastReport();
        mWorker.mMode = Mode.SUCCEEDS;
        mWorker.setTask(FIRST, TaskState.RUNNING, "");
        mAgent.advance(SECOND);
        assertThat(mWorker.runningCount()).isEqualTo(0);
    }

    /** Guards against a stop call to the worker that is lost and never repeated. */
    @Test
    void stopIsRepeatedUntilTheAttemptHasEnded() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mWorker.mMode = Mode.LOSES_CALL;
        mAgent.mListener.message(new StopTask(5, TASK, 1));
        assertState(TaskReportState.RUNNING);
        mWorker.mMode = Mode.SUCCEEDS;
        mAgent.advance(TaskDuty.RESEND_INTERVAL);
        assertState(TaskReportState.STOPPED);
    }

    /** Guards against a checkpoint report without the reference that the next attempt needs. */
    @Test
    void checkpointReportCarriesReference() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(new CheckpointTask(5, TASK, 1));
        assertState(TaskReportState.CHECKPOINTED);
        assertThat(mAgent.lastReport().detail()).isEqualTo("ckpt");
    }

    /** Guards against a throttle share outside its range that reaches the worker. */
    @Test
    void throttleRejectsInvalidShare() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        for (double share : new double[] {0, -1, 1.5, Double.NaN}) {
            mAgent.mListener.message(new ThrottleTask(5, TASK, 1, share));
        }
        mAgent.mListener.message(new ThrottleTask(5, TASK, 1, 0.5));
        assertThat(mWorker.mCommandCalls).containsExactly("throttle 0.5");
    }

    /** Guards against an attempt that the worker has lost and the agent still holds as running. */
    @Test
    void attemptMissingAtWorkerIsReportedAsStopped() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mWorker.mTasks.clear();
        mAgent.advance(SECOND);
        assertState(TaskReportState.STOPPED);
    }

    /**
     * Guards against leases that expire during a session, or are renewed more often than necessary.
     */
    @Test
    void renewsLeasesEveryThirdOfTheirTimeToLive() {
        int before = mWorker.mRenewalCount;
        mAgent.advance(Duration.ofSeconds(31));
        assertThat(mWorker.mRenewalCount - before).isIn(List.of(3, 4));
    }

    /**
     * Guards against batch tasks that continue after the end of the session, and service tasks that
     * are stopped with it.
     */
    @Test
    void endOfSessionCheckpointsBatchAndKeepsServices() {
        TaskId service = TaskId.parse("svc/0");
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(mAgent.start(5, service, 1, true));
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(29));
        assertThat(mWorker.runningCount()).isEqualTo(2);
        mAgent.advance(Duration.ofSeconds(2));
        assertThat(mWorker.mTasks.get(FIRST).state()).isEqualTo(TaskState.CHECKPOINTED);
        int renewals = mWorker.mRenewalCount;
        mAgent.advance(Duration.ofSeconds(40));
        assertThat(mWorker.mRenewalCount).isAtLeast(renewals + 3);
        assertThat(mWorker.runningCount()).isEqualTo(1);
    }

    /**
     * Guards against lease renewals without a session while the worker still runs a batch task that
     * it has not stopped.
     */
    @Test
    void noRenewalWithoutSessionWhileBatchTaskRuns() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        mAgent.mListener.message(mAgent.start(5, TaskId.parse("svc/0"), 1, true));
        mAgent.mAcknowledgesHeartbeats = false;
        mAgent.advance(Duration.ofSeconds(29));
        mWorker.mMode = Mode.REFUSES;
        mAgent.advance(Duration.ofSeconds(5));
        mWorker.mCommandCalls.clear();
        mAgent.advance(Duration.ofSeconds(30));
        assertThat(mWorker.mCommandCalls).contains("stop " + FIRST);
        mWorker.mMode = Mode.LOSES_CALL;
        int renewals = mWorker.mRenewalCount;
        mAgent.advance(Duration.ofSeconds(60));
        assertThat(mWorker.mRenewalCount).isEqualTo(renewals);
    }

    /** Guards against an agent that renews the leases after a pause that outlasted its session. */
    @Test
    void noRenewalAfterPauseBeyondSession() {
        mAgent.mListener.message(mAgent.start(5, 1, false));
        int renewals = mWorker.mRenewalCount;
        mAgent.mClock.advance(Duration.ofSeconds(60));
        mAgent.mTasks.step();
        assertThat(mWorker.mRenewalCount).isEqualTo(renewals);
        assertThat(mWorker.mTasks.get(FIRST).state()).isEqualTo(TaskState.CHECKPOINTED);
    }

    /**
     * Guards against a restarted agent that opens a session without reporting the tasks at its
     * worker, or starts one of them again.
     */
    @Test
    void restartedAgentReportsTasksOfWorker() {
        ControlFixture restarted = new ControlFixture();
        restarted.mWorker.setTask(FIRST, TaskState.RUNNING, "");
        restarted.mWorker.setTask(new AttemptId(TaskId.parse("job/2"), 1), TaskState.FINISHED, "");
        restarted.openSession(6);
        restarted.step();
        assertThat(restarted.sent(SessionOpen.class).getLast().tasks()).hasSize(2);
        assertThat(restarted.lastReport().state()).isEqualTo(TaskReportState.FINISHED);
        assertThat(restarted.mAttemptTable.used()).isEqualTo(ControlFixture.SIZE);
        restarted.mListener.message(restarted.start(6, 1, false));
        assertThat(restarted.mWorker.mStartedAttempts).isEmpty();
    }

    private void assertState(TaskReportState state) {
        assertThat(mAgent.lastReport().state()).isEqualTo(state);
    }
}
