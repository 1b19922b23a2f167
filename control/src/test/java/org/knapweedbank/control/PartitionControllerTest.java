package org.knapweedbank.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.ThrottleTask;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;

class PartitionControllerTest {
    private final ControlFixture mFixture = new ControlFixture();

    @BeforeEach
    void connectVm() {
        mFixture.connect("vm1", "a");
    }

    private StartTask startOneTask() {
        mFixture.submit(ControlFixture.job("job", JobKind.BATCH, 1));
        return mFixture.agent("vm1").last(StartTask.class);
    }

    private int finishedTasks() {
        return mFixture.controller().detail(new JobId("job")).orElseThrow().summary().finished();
    }

    /**
     * Guards against a start that is sent before its placement is committed: if the owner failed
     * then, a later owner would not know of the attempt.
     */
    @Test
    void sendsStartOnlyAfterCommit() {
        mFixture.controller()
                .submit(ControlFixture.job("job", JobKind.BATCH, 1), false, result -> {});
        mFixture.journal().commitAll();
        mFixture.controller().schedule();
        assertThat(mFixture.starts("job/0")).isEmpty();
        mFixture.journal().commitAll();
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }

    /**
     * Guards against an end that is lost: an agent discards an end once it is acknowledged, so
     * neither the first nor a repeated report may be acknowledged before the commit.
     */
    @Test
    void acknowledgesFirstAndRepeatedEndOnlyAfterCommit() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        assertThat(mFixture.agent("vm1").sent(ReportAck.class)).isEmpty();
        mFixture.journal().commitAll();
        assertThat(mFixture.agent("vm1").sent(ReportAck.class)).hasSize(1);
        assertThat(finishedTasks()).isEqualTo(1);
    }

    /**
     * Guards against a finished task that runs again because its owner failed before the end was
     * committed. The agent reports the end again to the new owner.
     */
    @Test
    void newOwnerLearnsUncommittedEndFromAgent() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.takeOver();
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.FINISHED));
        mFixture.schedule();
        assertThat(finishedTasks()).isEqualTo(1);
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
    }

    /** Guards against a new owner that loses a running attempt or starts the task a second time. */
    @Test
    void newOwnerKeepsRunningAttempt() {
        StartTask start = startOneTask();
        mFixture.takeOver();
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        mFixture.connect("vm2", "b");
        mFixture.schedule();
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).isEmpty();
    }

    /**
     * Guards against a second attempt that starts while an unreachable VM may still run the first
     * one under leases granted by the previous owner.
     */
    @Test
    void newOwnerWaitsForInheritedLeasesOfUnreachableVm() {
        startOneTask();
        mFixture.takeOver();
        mFixture.connect("vm2", "b");
        Duration expiry = ControlSettings.defaults().inheritedExpiry();
        mFixture.advance(expiry.minusSeconds(1), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).isEmpty();
        mFixture.advance(Duration.ofSeconds(5), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).hasSize(1);
    }

    /**
     * Guards against a VM that reconnects after its expiry and continues an attempt that was
     * replaced meanwhile.
     */
    @Test
    void stopsReplacedAttemptOfReconnectingVm() {
        StartTask start = startOneTask();
        mFixture.disconnect("vm1");
        mFixture.connect("vm2", "b");
        mFixture.advance(ControlSettings.defaults().vmExpiry().plusSeconds(5), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).hasSize(1);
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").last(StopTask.class).attempt()).isEqualTo(1);
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.journal().commitAll();
        assertThat(finishedTasks()).isEqualTo(0);
    }

    private void expireVm1() {
        mFixture.disconnect("vm1");
        mFixture.connect("vm2", "b");
        mFixture.advance(ControlSettings.defaults().vmExpiry().plusSeconds(4), "vm2");
    }

    private static TaskStatus status(StartTask start, TaskState state) {
        return new TaskStatus(start.task(), start.attempt(), start.resources(), state, "");
    }

    /**
     * Guards against a finished task that runs again because its agent failed before it reported
     * the end. The worker still knows the end.
     */
    @Test
    void queriesWorkerBeforeRecordingAttemptAsLost() {
        StartTask start = startOneTask();
        mFixture.journal().setWorkerAnswer(status(start, TaskState.FINISHED));
        expireVm1();
        assertThat(finishedTasks()).isEqualTo(1);
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }

    /**
     * Guards against a second attempt that starts while the worker of an expired VM still runs the
     * first.
     */
    @Test
    void startsNoAttemptWhileWorkerRunsTheFirst() {
        StartTask start = startOneTask();
        mFixture.journal().setWorkerAnswer(status(start, TaskState.RUNNING));
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(1);
        mFixture.journal().setWorkerAnswer(status(start, TaskState.EXPIRED));
        mFixture.advance(Duration.ofSeconds(2), "vm2");
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /**
     * Guards against a task that is never placed again after its VM and the VM's worker have
     * failed.
     */
    @Test
    void placesTaskAgainWhenWorkerDoesNotAnswer() {
        startOneTask();
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /**
     * Guards against attempts of an expired VM that are never ended because the journal was full at
     * the time of expiry.
     */
    @Test
    void endsAttemptsOfExpiredVmOnceJournalHasRoom() {
        startOneTask();
        mFixture.journal().setFull(true);
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(1);
        mFixture.journal().setFull(false);
        mFixture.advance(Duration.ofSeconds(4), "vm2");
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /**
     * Guards against a start in a data centre that was taken out of service after the placement.
     */
    @Test
    void sendsNoStartIntoRemovedDataCentre() {
        mFixture.controller()
                .submit(ControlFixture.job("job", JobKind.BATCH, 1), false, result -> {});
        mFixture.journal().commitAll();
        mFixture.controller().schedule();
        mFixture.takeOutOfService("a");
        mFixture.advance(Duration.ofSeconds(10), "vm1");
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
    }

    /**
     * Guards against start permits that are based on an outdated configuration of the data centres.
     */
    @Test
    void sendsNoStartWithoutStoreConfirmation() {
        mFixture.setStoreReachable(false);
        mFixture.advance(Duration.ofSeconds(3), "vm1");
        mFixture.submit(ControlFixture.job("job", JobKind.BATCH, 1));
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
        mFixture.setStoreReachable(true);
        mFixture.advance(Duration.ofSeconds(1), "vm1");
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).hasSize(1);
    }

    /** Guards against an owner without contact to the store that renews sessions indefinitely. */
    @Test
    void stopsRenewingAfterMaxStoreSilence() {
        mFixture.setStoreReachable(false);
        Duration silence = ControlSettings.defaults().maxTimeWithoutStore();
        mFixture.advance(silence, "vm1");
        int acknowledged = mFixture.agent("vm1").sent(HeartbeatAck.class).size();
        mFixture.advance(Duration.ofSeconds(5), "vm1");
        assertThat(mFixture.agent("vm1").sent(HeartbeatAck.class)).hasSize(acknowledged);
    }

    /**
     * Guards against an owner without contact to the store that renews leases by granting new
     * sessions, while a later owner assumes that they have ended and places the tasks again.
     */
    @Test
    void grantsNoSessionAfterMaxStoreSilence() {
        StartTask start = startOneTask();
        mFixture.setStoreReachable(false);
        mFixture.advance(ControlSettings.defaults().maxTimeWithoutStore().plusSeconds(1), "vm1");
        mFixture.disconnect("vm1");
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").sent(SessionGrant.class)).isEmpty();
        assertThat(mFixture.agent("vm1").sent(Redirect.class)).hasSize(1);
        assertThat(mFixture.agent("vm1").sent(HeartbeatAck.class)).isEmpty();
        mFixture.setStoreReachable(true);
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").sent(SessionGrant.class)).hasSize(1);
    }

    /**
     * Guards against a checkpointed task that does not resume, or resumes twice after a repeated
     * report.
     */
    @Test
    void resumesCheckpointedTaskOnce() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.RUNNING);
        mFixture.connect("vm2", "b");
        mFixture.takeOutOfService("a");
        assertThat(mFixture.agent("vm1").sent(CheckpointTask.class)).hasSize(1);
        mFixture.report("vm1", start, TaskReportState.CHECKPOINTED, "ckpt-1");
        mFixture.report("vm1", start, TaskReportState.CHECKPOINTED, "ckpt-1");
        mFixture.journal().commitAll();
        mFixture.schedule();
        assertThat(mFixture.starts("job/0")).hasSize(2);
        StartTask resumed = mFixture.agent("vm2").last(StartTask.class);
        assertThat(resumed.checkpoint()).isEqualTo("ckpt-1");
        assertThat(resumed.attempt()).isEqualTo(2);
    }

    /**
     * Guards against a service that loses capacity during the drain of a data centre, and against a
     * successor that runs under the task identifier of the replaced replica.
     */
    @Test
    void startsSuccessorBeforeStoppingServiceReplica() {
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 1));
        StartTask start = mFixture.agent("vm1").last(StartTask.class);
        mFixture.report("vm1", start, TaskReportState.RUNNING);
        mFixture.connect("vm2", "b");
        mFixture.takeOutOfService("a");
        mFixture.schedule();
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).isEmpty();
        StartTask successor = mFixture.agent("vm2").last(StartTask.class);
        assertThat(successor.task()).isNotEqualTo(start.task());
        mFixture.report("vm2", successor, TaskReportState.RUNNING);
        mFixture.advance(Duration.ofSeconds(1), "vm1", "vm2");
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).hasSize(1);
    }

    /** Guards against a cancelled task that is started again after its attempt was stopped. */
    @Test
    void cancelStopsStartedTaskAndPreventsRestart() {
        StartTask start = startOneTask();
        mFixture.controller().cancel(new JobId("job"), result -> {});
        mFixture.journal().commitAll();
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).hasSize(1);
        mFixture.report("vm1", start, TaskReportState.STOPPED);
        mFixture.journal().commitAll();
        mFixture.advance(Duration.ofSeconds(2), "vm1");
        assertThat(mFixture.starts("job/0")).hasSize(1);
        assertThat(mFixture.controller().summaries().getFirst().state()).isEqualTo("cancelled");
    }

    /** Guards against a permanently refused start that is retried without backoff. */
    @Test
    void backsOffRepeatedlyRefusedStarts() {
        StartTask start = startOneTask();
        for (int second = 0; second < 60; second++) {
            StartTask last = mFixture.agent("vm1").last(StartTask.class);
            mFixture.report("vm1", last, TaskReportState.NOT_STARTED, "program is not known");
            mFixture.journal().commitAll();
            mFixture.advance(Duration.ofSeconds(1), "vm1");
        }
        assertThat(mFixture.starts("job/0").size()).isAtMost(8);
        assertThat(mFixture.controller().explain(start.task().job()).orElseThrow())
                .contains("program is not known");
    }

    /**
     * Guards against service latencies measured by the agent that do not reach the interference
     * control.
     */
    @Test
    void throttlesBatchTaskOnVmOfSlowService() {
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 1));
        StartTask service = mFixture.agent("vm1").last(StartTask.class);
        mFixture.report("vm1", service, TaskReportState.RUNNING);
        mFixture.submit(ControlFixture.job("batch", JobKind.BATCH, 1));
        mFixture.report(
                "vm1", mFixture.agent("vm1").last(StartTask.class), TaskReportState.RUNNING);
        for (int second = 0; second < 60; second++) {
            mFixture.advance(Duration.ofSeconds(1));
            mFixture.heartbeatWithLatency("vm1", service, 500_000);
            mFixture.controller().controlInterference();
        }
        assertThat(mFixture.agent("vm1").sent(ThrottleTask.class)).isNotEmpty();
    }

    /** Guards against a repeated submission that runs the tasks twice. */
    @Test
    void repeatedSubmissionHasNoEffect() {
        startOneTask();
        mFixture.submit(ControlFixture.job("job", JobKind.BATCH, 1));
        assertThat(mFixture.controller().summaries()).hasSize(1);
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }

    /** Guards against waiting indefinitely for the report of a start that was lost in transit. */
    @Test
    void requestsTaskListWhenStartIsNotReported() {
        StartTask start = startOneTask();
        mFixture.advance(Duration.ofSeconds(7), "vm1");
        mFixture.controller()
                .taskList(
                        new org.knapweedbank.model.VmId("vm1"),
                        new org.knapweedbank.wire.TaskList(
                                mFixture.epoch(), 9, java.util.List.of()));
        mFixture.journal().commitAll();
        mFixture.schedule();
        assertThat(mFixture.starts("job/0")).hasSize(2);
        assertThat(mFixture.agent("vm1").last(StartTask.class).attempt())
                .isEqualTo(start.attempt() + 1);
    }

    /** Guards against state that is lost or changed by a snapshot. */
    @Test
    void snapshotRestoresTheState() {
        startOneTask();
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 2));
        PartitionState restored = new PartitionState();
        byte[] bytes = JournalCodec.encodeSnapshot(mFixture.controller().snapshot());
        JournalCodec.decodeSnapshot(bytes).forEach(restored::apply);
        assertThat(restored.snapshot()).isEqualTo(mFixture.controller().snapshot());
    }

    /**
     * Guards against a task that is never placed because the journal was full at its first
     * placement.
     */
    @Test
    void retriesPlacementAfterJournalWasFull() {
        mFixture.controller()
                .submit(ControlFixture.job("job", JobKind.BATCH, 1), false, result -> {});
        mFixture.journal().commitAll();
        mFixture.journal().setFull(true);
        mFixture.schedule();
        mFixture.journal().setFull(false);
        mFixture.advance(Duration.ofSeconds(1), "vm1");
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }
}
