package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.TaskName;

/** Tests that a suspended VM limits what a faulty worker can harm, and holds nothing up. */
class SuspendedVmTest {
    /** Time within which a task starts again once a sound VM has room for it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private static final Duration LONG = Duration.ofSeconds(30);
    private static final String[] VMS = {"a", "b", "c", "d"};

    private WorkerSimulation mSimulation;

    private void start(long milliCpu, String... vms) {
        mSimulation = new WorkerSimulation(new OwnerFixture(), milliCpu, vms);
    }

    /**
     * Guards against a suspension for failures that lie far apart, and one that grows each time.
     */
    @Test
    void rareFailuresOfLongRunningTasksDoNotDelayThem() {
        start(8_000, "a");
        mSimulation.submitLongRunning("web-0", 1, 1_000);
        mSimulation.submitLongRunning("web-1", 1, 1_000);
        for (int i = 0; i < 8; i++) {
            mSimulation.advance(Duration.ofMinutes(1));
            String failing = "web-" + i % 2;
            mSimulation.failRunning(failing);
            assertThat(mSimulation.advanceUntilRunning(failing, 1, LONG)).isAtMost(MAX_WAIT);
        }
    }

    /** Guards against idle VMs that stay closed after all workers have failed for a while. */
    @Test
    void tasksStartSoonAfterAllWorkersHaveRecovered() {
        start(8_000, VMS);
        IntStream.range(0, 4).forEach(i -> mSimulation.submitLongRunning("web-" + i, 4, 1_000));
        mSimulation.advance(Duration.ofSeconds(2));
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, VMS);
        IntStream.range(0, 4).forEach(i -> mSimulation.failRunning("web-" + i));
        for (int i = 0; i < 16; i++) {
            mSimulation.submitBatch("failing-" + i, 8);
            mSimulation.advance(Duration.ofSeconds(1));
        }
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.SOUND, VMS);
        mSimulation.submitBatch("batch", 2);
        assertThat(mSimulation.advanceUntilRunning("batch", 1, LONG)).isAtMost(MAX_WAIT);
        mSimulation.advance(MAX_WAIT);
        for (int i = 0; i < 4; i++) {
            assertThat(mSimulation.countRunning("web-" + i)).isEqualTo(4);
        }
    }

    /** Guards against jobs that can't be done and thereby close sound VMs to all others. */
    @Test
    void faultyJobsDoNotDelayLongRunningTasks() {
        start(8_000, VMS);
        mSimulation.submitLongRunning("web", 4, 8_000);
        mSimulation.advance(Duration.ofSeconds(2));
        mSimulation.failRunning("web");
        Duration longest = Duration.ZERO;
        for (int i = 0; i < 20; i++) {
            mSimulation.addFaultyJob("faulty-" + i);
            mSimulation.submitBatch("faulty-" + i, 8);
            Duration wait = mSimulation.advanceUntilRunning("web", 4, LONG);
            longest = longest.compareTo(wait) > 0 ? longest : wait;
            mSimulation.failRunning("web");
        }
        assertThat(longest).isAtMost(MAX_WAIT);
    }

    /** Guards against a backlog that is spent on a faulty VM after each suspension. */
    @Test
    void faultyVmTakesOneTaskAtATime() {
        start(8_000, "a", "faulty");
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, "faulty");
        IntStream.range(0, 40).forEach(i -> mSimulation.submitBatch("batch-" + i, 8));
        mSimulation.advance(Duration.ofSeconds(1));
        long failedAtFirst = mSimulation.countFailed("faulty");
        mSimulation.advance(Duration.ofSeconds(10));
        assertThat(mSimulation.countFailed("faulty") - failedAtFirst).isAtMost(10);
    }

    /** Guards against jobs that fail because their last attempts are spent on a faulty VM. */
    @Test
    void faultyVmDoesNotFailJobs() {
        start(8_000, "a", "faulty");
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, "faulty");
        List<Job> jobs =
                IntStream.range(0, 20)
                        .mapToObj(i -> mSimulation.submitBatch("batch-" + i, 8))
                        .toList();
        mSimulation.advance(LONG);
        assertThat(jobs.stream().filter(job -> job.state() == JobState.FAILED).toList()).isEmpty();
        assertThat(jobs.stream().map(Job::state).distinct()).containsExactly(JobState.COMPLETED);
    }

    /** Guards against a faulty VM that is preferred to sound ones after its suspension. */
    @Test
    void soundVmsAreUsedFirst() {
        start(8_000, "a", "faulty");
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, "faulty");
        IntStream.range(0, 4).forEach(i -> mSimulation.submitBatch("batch-" + i, 8));
        mSimulation.advance(Duration.ofSeconds(8));
        long failedAtFirst = mSimulation.countFailed("faulty");
        for (int i = 0; i < 6; i++) {
            mSimulation.submitBatch("later-" + i, 4);
            mSimulation.advance(Duration.ofSeconds(2));
        }
        assertThat(mSimulation.countFailed("faulty") - failedAtFirst).isAtMost(3);
    }

    /** Guards against tasks that wait for a worker that has stood still and works again. */
    @Test
    void tasksStartSoonAfterAllWorkersHaveStoodStill() {
        start(8_000, VMS);
        mSimulation.submitBatch("batch", 4);
        mSimulation.advance(Duration.ofMillis(300));
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.HANGS, VMS);
        mSimulation.advance(Duration.ofSeconds(12));
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.SOUND, VMS);
        mSimulation.submitLongRunning("web", 4, 4_000);
        assertThat(mSimulation.advanceUntilRunning("web", 4, LONG)).isAtMost(MAX_WAIT);
    }

    /** Guards against a task on its last attempt that keeps the others of its step from a trial. */
    @Test
    void taskOnLastAttemptDoesNotHoldUpItsStep() {
        start(1_000, "a");
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, "a");
        mSimulation.submitBatch("other", 1);
        mSimulation.advance(Duration.ofMillis(50));
        mSimulation.submitBatch("batch", 3);
        mSimulation.advance(Duration.ofMillis(100));
        assertThat(mSimulation.failed()).hasSize(3);
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.SOUND, "a");
        Duration wait = mSimulation.advanceUntilRunning("batch", 1, LONG);
        assertThat(wait).isAtMost(Duration.ofMillis(1_200));
    }

    /** Guards against two tries of one task on a faulty VM while a sound one has room. */
    @Test
    void failedTaskMovesToAnotherVm() {
        start(8_000, "a", "faulty");
        mSimulation.setBehaviour(WorkerSimulation.Behaviour.FAILS_STARTS, "faulty");
        mSimulation.submitBatch("batch", 8);
        mSimulation.advance(Duration.ofSeconds(5));
        Set<TaskName> failed = new HashSet<>();
        mSimulation.failed().forEach(order -> assertThat(failed.add(order.mTask())).isTrue());
    }
}
