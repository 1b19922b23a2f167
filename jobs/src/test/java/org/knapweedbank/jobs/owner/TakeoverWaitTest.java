package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;

/** Tests of how long the tasks of an earlier owner wait for VMs that do not report. */
class TakeoverWaitTest {
    private static final StepTraits LONG_RUNNING = new StepTraits(false, false, false, true, false);

    /** Time after a disturbance within which a long-running task has to run again. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private final OwnerFixture mEarlierOwner = new OwnerFixture();

    /** Starts the two tasks of a long-running job, one on each of two VMs of one core. */
    private void startTasks() {
        mEarlierOwner.addVm("vm", 1_000);
        mEarlierOwner.addVm("gone", 1_000);
        mEarlierOwner.submit("a", OwnerFixture.step(2, 1_000, LONG_RUNNING));
        mEarlierOwner.storeAndSchedule();
        mEarlierOwner.mStarts.forEach(mEarlierOwner::reportStarted);
    }

    private OwnerFixture.Order orderOn(String vm) {
        return mEarlierOwner.mStarts.stream()
                .filter(order -> order.mVm().equals(new DaemonId(vm)))
                .findFirst()
                .orElseThrow();
    }

    private static RunStatus status(OwnerFixture.Order order) {
        return new RunStatus(order.mTask(), order.mRunNumber(), "", 100, 1_000);
    }

    private static WorkerInfo worker(String vm) {
        return OwnerFixture.worker(vm, 1, 1_000, false);
    }

    /** Lets the time pass in short steps while the given VMs stay in contact. */
    private static void pass(OwnerFixture owner, Duration time, String... vms) {
        Duration step = Duration.ofMillis(100);
        Stream.generate(() -> step)
                .limit(time.dividedBy(step))
                .forEach(s -> owner.advanceTime(s, vms));
    }

    /**
     * Guards against a long-running task that ended under the new owner and waits for a VM that is
     * gone, although it is known to have run elsewhere.
     */
    @Test
    void taskThatRanUnderNewOwnerDoesNotWaitForVmsThatAreGone() throws IOException {
        startTasks();
        OwnerFixture newOwner = mEarlierOwner.createSuccessor(false);
        OwnerFixture.Order order = orderOn("vm");
        newOwner.report("vm", worker("vm"), List.of(status(order)), List.of(), false);
        newOwner.storeAndSchedule();
        newOwner.reportEnd(order, EndKind.FAILED, "");
        pass(newOwner, MAX_WAIT, "vm");
        assertThat(newOwner.mStarts).hasSize(1);
        assertThat(newOwner.lastStart().mTask()).isEqualTo(order.mTask());
    }

    /**
     * Guards against a second run of a task of the same job that may still run on the VM that has
     * not reported.
     */
    @Test
    void otherTaskOfTheJobWaitsForItsVm() throws IOException {
        startTasks();
        OwnerFixture newOwner = mEarlierOwner.createSuccessor(false);
        OwnerFixture.Order order = orderOn("vm");
        newOwner.report("vm", worker("vm"), List.of(status(order)), List.of(), false);
        newOwner.addVm("other", 8_000);
        newOwner.reportEnd(order, EndKind.STOPPED, "");
        Duration limit =
                OwnerFixture.SETTINGS
                        .earlierLeaseTimeout()
                        .plus(OwnerFixture.SETTINGS.maxStoreSilence());
        pass(newOwner, limit.minusMillis(200), "vm", "other");
        assertThat(newOwner.mStarts.stream().map(OwnerFixture.Order::mTask).distinct().toList())
                .containsExactly(order.mTask());
        pass(newOwner, Duration.ofMillis(400), "vm", "other");
        assertThat(newOwner.lastStart().mTask()).isEqualTo(orderOn("gone").mTask());
    }

    /**
     * Guards against a second run of a task that an incomplete report lists as running although it
     * has ended there, so that the earlier owner may have started it elsewhere.
     */
    @Test
    void taskInIncompleteReportWaitsForVmsThatHaveNotReported() throws IOException {
        startTasks();
        OwnerFixture newOwner = mEarlierOwner.createSuccessor(false);
        OwnerFixture.Order order = orderOn("vm");
        newOwner.mOwner.handleReport(
                order.mVm(),
                OwnerFixture.DATA_CENTRE,
                new AgentReport(
                        Optional.of(worker("vm")),
                        false,
                        List.of(),
                        List.of(status(order)),
                        List.of()),
                newOwner.currentLists());
        newOwner.addVm("other", 8_000);
        newOwner.reportEnd(order, EndKind.LAPSED, "");
        pass(newOwner, MAX_WAIT, "other");
        assertThat(newOwner.mStarts).isEmpty();
    }

    /** Reports a run to a new owner by a list that may leave out ends. */
    private static void reportIncompletely(OwnerFixture owner, OwnerFixture.Order order) {
        owner.mOwner.handleReport(
                order.mVm(),
                OwnerFixture.DATA_CENTRE,
                new AgentReport(
                        Optional.of(worker(order.mVm().value())),
                        false,
                        List.of(),
                        List.of(status(order)),
                        List.of()),
                owner.currentLists());
    }

    /**
     * Guards against leases that expire on a VM whose worker has more ends than it lists at once,
     * because the new owner stores the VM as unreachable while it answers the agent.
     */
    @Test
    void vmWithIncompleteReportIsAnswered() throws IOException {
        startTasks();
        OwnerFixture newOwner = mEarlierOwner.createSuccessor(true);
        reportIncompletely(newOwner, orderOn("vm"));
        newOwner.addVm("other", 8_000);
        for (int i = 0; i < 5; i++) {
            newOwner.storeAndSchedule();
            newOwner.advanceTime(Duration.ofSeconds(1), "other");
            assertThat(newOwner.mOwner.grantAuthority(new DaemonId("vm"), worker("vm").id()))
                    .isTrue();
        }
    }

    /**
     * Guards against a second run of a task whose end the worker has not listed yet, because the
     * leases of the earlier owner have expired meanwhile.
     */
    @Test
    void taskWhoseEndMayBeUnlistedWaitsWhileItsVmAnswers() throws IOException {
        startTasks();
        OwnerFixture newOwner = mEarlierOwner.createSuccessor(true);
        reportIncompletely(newOwner, orderOn("vm"));
        newOwner.addVm("other", 8_000);
        newOwner.report("gone", worker("gone"), List.of(), List.of(), false);
        for (int i = 0; i < 12; i++) {
            newOwner.storeAndSchedule();
            newOwner.advanceTime(Duration.ofSeconds(1), "other", "gone");
            newOwner.mOwner.grantAuthority(new DaemonId("vm"), worker("vm").id());
        }
        assertThat(newOwner.mStarts).isEmpty();
    }
}
