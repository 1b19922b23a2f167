package org.knapweedbank.standin;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.WorkerResult;

/** Tests of the {@link org.knapweedbank.worker.Worker} contract, which each implementation runs. */
abstract class WorkerContract {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Resources HALF_OF_CAPACITY = new Resources(500, 100, 1);
    private static final TaskId TASK = new TaskId(new JobId("job"), 0);
    private static final TaskId OTHER_TASK = new TaskId(new JobId("job"), 1);
    private static final long LEASE_MILLIS = 30_000;

    static final WorkerDescription DESCRIPTION =
            new WorkerDescription(
                    new VmId("vm-1"),
                    new DataCentreId("dc-1"),
                    new Resources(1000, 200, 2),
                    Duration.ofSeconds(5));

    private WorkerFixture mFixture;

    abstract WorkerFixture open();

    @BeforeEach
    void openFixture() {
        mFixture = open();
    }

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    private static TaskStart resumeRequest(
            TaskId task, int attempt, String checkpoint, String... args) {
        return new TaskStart(
                task, attempt, HALF_OF_CAPACITY, LEASE_MILLIS, List.of(args), checkpoint);
    }

    private static TaskStart startRequest(TaskId task, int attempt, String... args) {
        return resumeRequest(task, attempt, "", args);
    }

    private static <T> T awaitValue(Uni<WorkerResult<T>> call) {
        WorkerResult<T> result = call.await().atMost(TIMEOUT);
        assertThat(result).isInstanceOf(WorkerResult.Succeeded.class);
        return ((WorkerResult.Succeeded<T>) result).value();
    }

    private static String resultKind(Uni<? extends WorkerResult<?>> call) {
        return call.await().atMost(TIMEOUT).getClass().getSimpleName();
    }

    private TaskState stateAfter(long millis) {
        mFixture.clock().advance(Duration.ofMillis(millis));
        return status().state();
    }

    private TaskStatus status() {
        return awaitValue(mFixture.worker().list()).getFirst();
    }

    private TaskStatus start(TaskStart start) {
        return awaitValue(mFixture.worker().start(start));
    }

    private List<String> executions() {
        return mFixture.backend().executions().stream()
                .map(event -> event.kind() + " " + event.attempt() + " " + event.state())
                .toList();
    }

    /** Guards against tasks that end too early, too late or in the wrong state. */
    @Test
    void tasksEndAfterTheirRunTime() {
        assertThat(start(startRequest(TASK, 1, "simulate", "--millis", "1500")).state())
                .isEqualTo(TaskState.RUNNING);
        assertThat(stateAfter(1499)).isEqualTo(TaskState.RUNNING);
        assertThat(stateAfter(1)).isEqualTo(TaskState.FINISHED);
        assertThat(start(startRequest(OTHER_TASK, 1, "simulate", "--fail")).state())
                .isEqualTo(TaskState.FAILED);
        assertThat(executions())
                .containsExactly(
                        "start 1 RUNNING", "end 1 FINISHED", "start 1 RUNNING", "end 1 FAILED")
                .inOrder();
    }

    /** Guards against a repeated start request that runs an attempt twice. */
    @Test
    void startIsIdempotent() {
        start(startRequest(TASK, 1, "simulate", "--millis", "10"));
        start(startRequest(TASK, 1, "simulate", "--millis", "10"));
        assertThat(stateAfter(10)).isEqualTo(TaskState.FINISHED);
        assertThat(start(startRequest(TASK, 1, "simulate", "--millis", "10")).state())
                .isEqualTo(TaskState.FINISHED);
        assertThat(awaitValue(mFixture.worker().forget(TASK, 1))).isTrue();
        assertThat(awaitValue(mFixture.worker().forget(TASK, 1))).isFalse();
        assertThat(resultKind(mFixture.worker().start(startRequest(TASK, 1, "simulate"))))
                .isEqualTo("Refused");
        assertThat(executions()).hasSize(2);
    }

    /**
     * Guards against two concurrent attempts of a task, and an earlier attempt that starts after a
     * later one.
     */
    @Test
    void taskHasOneRunningAttempt() {
        start(startRequest(TASK, 2, "simulate"));
        assertThat(resultKind(mFixture.worker().start(startRequest(TASK, 3, "simulate"))))
                .isEqualTo("Refused");
        assertThat(awaitValue(mFixture.worker().stop(TASK, 2)).state())
                .isEqualTo(TaskState.STOPPED);
        assertThat(resultKind(mFixture.worker().start(startRequest(TASK, 1, "simulate"))))
                .isEqualTo("Refused");
        assertThat(start(startRequest(TASK, 3, "simulate")).state()).isEqualTo(TaskState.RUNNING);
    }

    /** Guards against reservations that exceed the capacity of the VM. */
    @Test
    void capacityIsNotExceeded() {
        start(startRequest(TASK, 1, "simulate"));
        start(startRequest(OTHER_TASK, 1, "simulate"));
        TaskStart third = startRequest(new TaskId(new JobId("job"), 2), 1, "simulate");
        assertThat(resultKind(mFixture.worker().start(third))).isEqualTo("Refused");
        awaitValue(mFixture.worker().stop(OTHER_TASK, 1));
        assertThat(start(third).state()).isEqualTo(TaskState.RUNNING);
    }

    /** Guards against tasks that run beyond their lease, and renewals without effect. */
    @Test
    void tasksExpireWithTheirLease() {
        start(startRequest(TASK, 1, "simulate"));
        assertThat(stateAfter(LEASE_MILLIS - 1)).isEqualTo(TaskState.RUNNING);
        assertThat(awaitValue(mFixture.worker().renew(Duration.ofMillis(LEASE_MILLIS))))
                .isEqualTo(1);
        assertThat(stateAfter(LEASE_MILLIS - 1)).isEqualTo(TaskState.RUNNING);
        assertThat(stateAfter(1)).isEqualTo(TaskState.EXPIRED);
        assertThat(awaitValue(mFixture.worker().renew(Duration.ofMillis(LEASE_MILLIS))))
                .isEqualTo(0);
    }

    /** Guards against work that is lost or repeated when a task is resumed. */
    @Test
    void resumedTaskKeepsProgressOfCheckpoint() {
        String[] command = {"simulate", "--millis", "1000", "--checkpoint-millis", "200"};
        start(startRequest(TASK, 1, command));
        mFixture.clock().advance(Duration.ofMillis(600));
        assertThat(awaitValue(mFixture.worker().checkpoint(TASK, 1)).state())
                .isEqualTo(TaskState.CHECKPOINTING);
        assertThat(stateAfter(200)).isEqualTo(TaskState.CHECKPOINTED);
        String checkpoint = status().detail();
        assertThat(awaitValue(mFixture.worker().checkpoint(TASK, 1)).detail())
                .isEqualTo(checkpoint);
        awaitValue(mFixture.worker().forget(TASK, 1));
        start(resumeRequest(TASK, 2, checkpoint, command));
        assertThat(stateAfter(399)).isEqualTo(TaskState.RUNNING);
        assertThat(stateAfter(1)).isEqualTo(TaskState.FINISHED);
        assertThat(mFixture.backend().executions().getLast().progressMillis()).isEqualTo(1000);
    }

    /** Guards against throttled tasks that run at full speed, and invalid shares being accepted. */
    @Test
    void throttledTasksRunSlower() {
        start(startRequest(TASK, 1, "simulate", "--millis", "1000"));
        mFixture.clock().advance(Duration.ofMillis(500));
        awaitValue(mFixture.worker().throttle(TASK, 1, 0.25));
        assertThat(stateAfter(1999)).isEqualTo(TaskState.RUNNING);
        assertThat(stateAfter(1)).isEqualTo(TaskState.FINISHED);
        assertThat(resultKind(mFixture.worker().throttle(TASK, 1, 0))).isEqualTo("Refused");
        assertThat(resultKind(mFixture.worker().throttle(OTHER_TASK, 1, 1))).isEqualTo("Refused");
    }

    /** Guards against usage samples that are newer than the configured lag allows. */
    @Test
    void usageSamplesHaveTheConfiguredAge() {
        start(startRequest(TASK, 1, "simulate", "--usage", "0.5"));
        assertThat(awaitValue(mFixture.worker().usage())).isEmpty();
        mFixture.clock().advance(Duration.ofSeconds(5));
        awaitValue(mFixture.worker().throttle(TASK, 1, 0.5));
        TaskUsage before = awaitValue(mFixture.worker().usage()).getFirst();
        assertThat(before.used().milliCpu()).isEqualTo(250);
        assertThat(before.sampleAgeMillis()).isEqualTo(5000);
        mFixture.clock().advance(Duration.ofSeconds(5));
        assertThat(awaitValue(mFixture.worker().usage()).getFirst().used().milliCpu())
                .isEqualTo(125);
    }

    /** Guards against invalid start requests that are not reported as refused. */
    @ParameterizedTest
    @CsvSource({"rm", "simulate --millis", "simulate --millis x", "simulate --other"})
    void invalidCommandsAreRefused(String command) {
        TaskStart start = startRequest(TASK, 1, command.split(" "));
        assertThat(resultKind(mFixture.worker().start(start))).isEqualTo("Refused");
        assertThat(resultKind(mFixture.worker().start(resumeRequest(TASK, 1, "x", "simulate"))))
                .isEqualTo("Refused");
        assertThat(awaitValue(mFixture.worker().list())).isEmpty();
    }

    /**
     * Guards against lost responses being reported as refusals, and against a start whose effect is
     * dropped after the response is lost, or repeated by the next start.
     */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT, 1", "BEFORE_EFFECT, 0"})
    void lostResponseToChangeIsUnknown(AnswerLoss loss, int tasks) {
        mFixture.backend().faults().loseAnswers(loss, 1);
        assertThat(resultKind(mFixture.worker().start(startRequest(TASK, 1, "simulate"))))
                .isEqualTo("Unknown");
        assertThat(awaitValue(mFixture.worker().list())).hasSize(tasks);
        mFixture.backend().faults().loseAnswers(loss, 1);
        assertThat(resultKind(mFixture.worker().list())).isEqualTo("Unavailable");
        start(startRequest(TASK, 1, "simulate"));
        assertThat(executions()).hasSize(1);
    }

    /**
     * Guards against calls to an unreachable worker being reported as unknown, and against tasks
     * that stop while it is unreachable.
     */
    @Test
    void unreachableWorkerIsUnavailableAndTasksKeepRunning() {
        start(startRequest(TASK, 1, "simulate", "--millis", "1000"));
        mFixture.backend().faults().setDown(true);
        // Query first, because a change on a connection that is being closed may yield Unknown.
        assertThat(resultKind(mFixture.worker().list())).isEqualTo("Unavailable");
        assertThat(resultKind(mFixture.worker().stop(TASK, 1))).isEqualTo("Unavailable");
        mFixture.clock().advance(Duration.ofSeconds(1));
        mFixture.backend().faults().setDown(false);
        assertThat(status().state()).isEqualTo(TaskState.FINISHED);
    }

    /** Guards against the fault of failing attempts being reported as a refusal. */
    @Test
    void failingWorkerFailsEachAttempt() {
        mFixture.backend().faults().setFailAllAttempts(true);
        assertThat(start(startRequest(TASK, 1, "simulate", "--millis", "1000")).state())
                .isEqualTo(TaskState.FAILED);
    }
}
