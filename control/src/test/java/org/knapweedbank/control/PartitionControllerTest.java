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

    private int finished() {
        return mFixture.controller().detail(new JobId("job")).orElseThrow().summary().finished();
    }

    /** Guards against a start that leaves before its placement is in the store. */
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

    /** Guards against an end that the agent forgets before it is in the store. */
    @Test
    void acknowledgesEndOnlyAfterCommitAlsoWhenRepeated() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        assertThat(mFixture.agent("vm1").sent(ReportAck.class)).isEmpty();
        mFixture.journal().commitAll();
        assertThat(mFixture.agent("vm1").sent(ReportAck.class)).hasSize(1);
        assertThat(finished()).isEqualTo(1);
    }

    /** Guards against a task that runs again because its owner died before the commit. */
    @Test
    void newOwnerLearnsUncommittedEndFromTheAgent() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.takeOver();
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.FINISHED));
        mFixture.schedule();
        assertThat(finished()).isEqualTo(1);
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
    }

    /** Guards against an attempt that a new owner forgets or starts a second time. */
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

    /** Guards against a second attempt while an unreachable VM may still run the first. */
    @Test
    void newOwnerWaitsForInheritedLeasesOfUnreachableVm() {
        startOneTask();
        mFixture.takeOver();
        mFixture.connect("vm2", "b");
        Duration expiry = ControlSettings.defaults().inheritedExpiry();
        mFixture.pass(expiry.minusSeconds(1), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).isEmpty();
        mFixture.pass(Duration.ofSeconds(5), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).hasSize(1);
    }

    /** Guards against a VM that comes back after its expiry and goes on with a replaced attempt. */
    @Test
    void stopsReplacedAttemptOfReturningVm() {
        StartTask start = startOneTask();
        mFixture.disconnect("vm1");
        mFixture.connect("vm2", "b");
        mFixture.pass(ControlSettings.defaults().vmExpiry().plusSeconds(5), "vm2");
        assertThat(mFixture.agent("vm2").sent(StartTask.class)).hasSize(1);
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").last(StopTask.class).attempt()).isEqualTo(1);
        mFixture.report("vm1", start, TaskReportState.FINISHED);
        mFixture.journal().commitAll();
        assertThat(finished()).isEqualTo(0);
    }

    private void expireVm1() {
        mFixture.disconnect("vm1");
        mFixture.connect("vm2", "b");
        mFixture.pass(ControlSettings.defaults().vmExpiry().plusSeconds(4), "vm2");
    }

    private static TaskStatus status(StartTask start, TaskState state) {
        return new TaskStatus(start.task(), start.attempt(), start.resources(), state, "");
    }

    /** Guards against a finished task that runs again because its agent died before the report. */
    @Test
    void asksTheWorkerBeforeAnAttemptIsTakenForLost() {
        StartTask start = startOneTask();
        mFixture.journal().setWorkerAnswer(status(start, TaskState.FINISHED));
        expireVm1();
        assertThat(finished()).isEqualTo(1);
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }

    /** Guards against a second attempt while the worker still runs the first. */
    @Test
    void waitsWhileTheWorkerStillRunsTheAttempt() {
        StartTask start = startOneTask();
        mFixture.journal().setWorkerAnswer(status(start, TaskState.RUNNING));
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(1);
        mFixture.journal().setWorkerAnswer(status(start, TaskState.EXPIRED));
        mFixture.pass(Duration.ofSeconds(2), "vm2");
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /** Guards against work that is lost with its VM. */
    @Test
    void placesAgainWhenTheWorkerGivesNoAnswer() {
        startOneTask();
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /** Guards against tasks of an expired VM that are forgotten while the journal is full. */
    @Test
    void endsTheTasksOfAnExpiredVmLaterWhenTheJournalIsFull() {
        startOneTask();
        mFixture.journal().setFull(true);
        expireVm1();
        assertThat(mFixture.starts("job/0")).hasSize(1);
        mFixture.journal().setFull(false);
        mFixture.pass(Duration.ofSeconds(4), "vm2");
        assertThat(mFixture.starts("job/0")).hasSize(2);
    }

    /** Guards against a start in a data centre that has been taken out. */
    @Test
    void sendsNoStartIntoRemovedDataCentre() {
        mFixture.controller()
                .submit(ControlFixture.job("job", JobKind.BATCH, 1), false, result -> {});
        mFixture.journal().commitAll();
        mFixture.controller().schedule();
        mFixture.remove("a");
        mFixture.pass(Duration.ofSeconds(10), "vm1");
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
    }

    /** Guards against permits that rest on a view of the data centres that is out of date. */
    @Test
    void sendsNoStartWhileTheStoreIsSilent() {
        mFixture.setStoreUp(false);
        mFixture.pass(Duration.ofSeconds(3), "vm1");
        mFixture.submit(ControlFixture.job("job", JobKind.BATCH, 1));
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).isEmpty();
        mFixture.setStoreUp(true);
        mFixture.pass(Duration.ofSeconds(1), "vm1");
        assertThat(mFixture.agent("vm1").sent(StartTask.class)).hasSize(1);
    }

    /** Guards against an isolated owner that renews sessions for ever. */
    @Test
    void stopsRenewingAfterMaxStoreSilence() {
        mFixture.setStoreUp(false);
        Duration silence = ControlSettings.defaults().maxStoreSilence();
        mFixture.pass(silence, "vm1");
        int acknowledged = mFixture.agent("vm1").sent(HeartbeatAck.class).size();
        mFixture.pass(Duration.ofSeconds(5), "vm1");
        assertThat(mFixture.agent("vm1").sent(HeartbeatAck.class)).hasSize(acknowledged);
    }

    /**
     * Guards against an isolated owner that renews leases by new sessions, while a later owner
     * places the tasks again.
     */
    @Test
    void grantsNoSessionAfterMaxStoreSilence() {
        StartTask start = startOneTask();
        mFixture.setStoreUp(false);
        mFixture.pass(ControlSettings.defaults().maxStoreSilence().plusSeconds(1), "vm1");
        mFixture.disconnect("vm1");
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").sent(SessionGrant.class)).isEmpty();
        assertThat(mFixture.agent("vm1").sent(Redirect.class)).hasSize(1);
        assertThat(mFixture.agent("vm1").sent(HeartbeatAck.class)).isEmpty();
        mFixture.setStoreUp(true);
        mFixture.connect("vm1", "a", ControlFixture.held(start, TaskReportState.RUNNING));
        assertThat(mFixture.agent("vm1").sent(SessionGrant.class)).hasSize(1);
    }

    /** Guards against evicted work that is lost or resumes twice. */
    @Test
    void resumesCheckpointedTaskOnce() {
        StartTask start = startOneTask();
        mFixture.report("vm1", start, TaskReportState.RUNNING);
        mFixture.connect("vm2", "b");
        mFixture.remove("a");
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

    /** Guards against a service that loses capacity, or its identity running twice. */
    @Test
    void replacesServiceReplicaBeforeItLeaves() {
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 1));
        StartTask start = mFixture.agent("vm1").last(StartTask.class);
        mFixture.report("vm1", start, TaskReportState.RUNNING);
        mFixture.connect("vm2", "b");
        mFixture.remove("a");
        mFixture.schedule();
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).isEmpty();
        StartTask successor = mFixture.agent("vm2").last(StartTask.class);
        assertThat(successor.task()).isNotEqualTo(start.task());
        mFixture.report("vm2", successor, TaskReportState.RUNNING);
        mFixture.pass(Duration.ofSeconds(1), "vm1", "vm2");
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).hasSize(1);
    }

    /** Guards against a cancelled task that is started, or that ends twice. */
    @Test
    void cancelsInEachPhase() {
        StartTask start = startOneTask();
        mFixture.controller().cancel(new JobId("job"), result -> {});
        mFixture.journal().commitAll();
        assertThat(mFixture.agent("vm1").sent(StopTask.class)).hasSize(1);
        mFixture.report("vm1", start, TaskReportState.STOPPED);
        mFixture.journal().commitAll();
        mFixture.pass(Duration.ofSeconds(2), "vm1");
        assertThat(mFixture.starts("job/0")).hasSize(1);
        assertThat(mFixture.controller().summaries().getFirst().state()).isEqualTo("cancelled");
    }

    /** Guards against a start that is refused for good and tried without pause. */
    @Test
    void delaysAttemptsThatAreRefusedAgainAndAgain() {
        StartTask start = startOneTask();
        for (int second = 0; second < 60; second++) {
            StartTask last = mFixture.agent("vm1").last(StartTask.class);
            mFixture.report("vm1", last, TaskReportState.NOT_STARTED, "program is not known");
            mFixture.journal().commitAll();
            mFixture.pass(Duration.ofSeconds(1), "vm1");
        }
        assertThat(mFixture.starts("job/0").size()).isAtMost(8);
        assertThat(mFixture.controller().explain(start.task().job()).orElseThrow())
                .contains("program is not known");
    }

    /** Guards against latency that the agent measures and that never reaches the control. */
    @Test
    void throttlesBatchBesideASlowService() {
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 1));
        StartTask service = mFixture.agent("vm1").last(StartTask.class);
        mFixture.report("vm1", service, TaskReportState.RUNNING);
        mFixture.submit(ControlFixture.job("batch", JobKind.BATCH, 1));
        mFixture.report(
                "vm1", mFixture.agent("vm1").last(StartTask.class), TaskReportState.RUNNING);
        for (int second = 0; second < 60; second++) {
            mFixture.pass(Duration.ofSeconds(1));
            mFixture.heartbeatWithLatency("vm1", service, 500_000);
            mFixture.controller().controlInterference();
        }
        assertThat(mFixture.agent("vm1").sent(ThrottleTask.class)).isNotEmpty();
    }

    /** Guards against a repeated submission that runs the work twice. */
    @Test
    void repeatedSubmissionHasNoEffect() {
        startOneTask();
        mFixture.submit(ControlFixture.job("job", JobKind.BATCH, 1));
        assertThat(mFixture.controller().summaries()).hasSize(1);
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }

    /** Guards against a start that was lost on its way and is waited for without end. */
    @Test
    void asksForTheListWhenAStartIsNotReported() {
        StartTask start = startOneTask();
        mFixture.pass(Duration.ofSeconds(7), "vm1");
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

    /** Guards against state that a snapshot drops or changes. */
    @Test
    void snapshotRestoresTheState() {
        startOneTask();
        mFixture.submit(ControlFixture.job("web", JobKind.SERVICE, 2));
        PartitionState restored = new PartitionState();
        byte[] bytes = JournalCodec.encodeSnapshot(mFixture.controller().snapshot());
        JournalCodec.decodeSnapshot(bytes).forEach(restored::apply);
        assertThat(restored.snapshot()).isEqualTo(mFixture.controller().snapshot());
    }

    /** Guards against work that is dropped while the journal takes no records. */
    @Test
    void keepsPlacementForLaterWhenTheJournalIsFull() {
        mFixture.controller()
                .submit(ControlFixture.job("job", JobKind.BATCH, 1), false, result -> {});
        mFixture.journal().commitAll();
        mFixture.journal().setFull(true);
        mFixture.schedule();
        mFixture.journal().setFull(false);
        mFixture.pass(Duration.ofSeconds(1), "vm1");
        assertThat(mFixture.starts("job/0")).hasSize(1);
    }
}
