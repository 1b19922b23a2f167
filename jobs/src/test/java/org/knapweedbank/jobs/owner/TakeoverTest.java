package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/** What a new owner does with the jobs and VMs of an earlier one. */
class TakeoverTest {
    private final OwnerFixture mFormer = new OwnerFixture();

    private OwnerFixture.Order runOne() {
        mFormer.addVm("vm", 8_000);
        mFormer.submit("a", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        mFormer.storeAndSchedule();
        mFormer.reportStarted(mFormer.lastStart());
        return mFormer.lastStart();
    }

    /** A VM tells a new owner that it runs what the former one ordered. */
    private static void reportRun(OwnerFixture owner, String vm, OwnerFixture.Order order) {
        RunningTask row = new RunningTask(order.mTask(), order.mRunNumber(), "", 10, 1_000);
        owner.report(vm, OwnerFixture.worker(vm, 1, 8_000, false), List.of(row), List.of(), false);
    }

    /** Guards against a second run of a task that runs where the new owner has not looked yet. */
    @Test
    void inheritedTaskWaitsUntilAllKnownVmsHaveReported() throws IOException {
        OwnerFixture.Order order = runOne();
        OwnerFixture next = mFormer.createSuccessor();
        next.addVm("other", 8_000);
        assertThat(next.mStarts).isEmpty();
        reportRun(next, "vm", order);
        next.storeAndSchedule();
        assertThat(next.mStarts).isEmpty();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRunNumber(), EndKind.DONE, "");
        next.mOwner.ended(
                new DaemonId("vm"), OwnerFixture.worker("vm", 1, 0, false).id(), List.of(end));
        next.storeAndSchedule();
        assertThat(next.mOwner.find(order.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.COMPLETED);
    }

    /** Guards against waiting for ever for a VM that is gone. */
    @Test
    void inheritedTaskStartsWhenNothingOfTheFormerOwnerCanRunAnyMore() throws IOException {
        OwnerFixture.Order order = runOne();
        OwnerFixture next = mFormer.createSuccessor();
        next.addVm("other", 8_000);
        Duration end = OwnerFixture.SETTINGS.earlierOwnerEnd();
        next.advanceTime(end.minusMillis(100), "other");
        assertThat(next.mStarts).isEmpty();
        next.advanceTime(Duration.ofMillis(200), "other");
        assertThat(next.mStarts).hasSize(1);
        assertThat(next.lastStart().mRunNumber()).isGreaterThan(order.mRunNumber());
    }

    /** Guards against a wait for a VM that is gone that begins anew with each owner. */
    @Test
    void silenceOfAVmCountsOverTakeovers() throws IOException {
        runOne();
        OwnerFixture second = mFormer.createSuccessor();
        second.addVm("other", 8_000);
        Duration end = OwnerFixture.SETTINGS.earlierOwnerEnd();
        second.advanceTime(end.dividedBy(2), "other");
        second.storeAndSchedule();
        OwnerFixture third = second.createSuccessor();
        third.addVm("other", 8_000);
        third.advanceTime(end.dividedBy(2).minusMillis(100), "other");
        assertThat(third.mStarts).isEmpty();
        third.advanceTime(Duration.ofMillis(1_200), "other");
        assertThat(third.mStarts).hasSize(1);
    }

    /** Guards against a second run on account of a silence that has ended since it was stored. */
    @Test
    void vmThatWasSilentIsAnsweredOnceItsReturnIsStored() throws IOException {
        OwnerFixture.Order order = runOne();
        OwnerFixture second = mFormer.createSuccessor();
        second.addVm("other", 8_000);
        second.advanceTime(Duration.ofSeconds(5), "other");
        second.storeAndSchedule();
        reportRun(second, "vm", order);
        assertThat(second.mOwner.answers(new DaemonId("vm"))).isFalse();
        second.storeAndSchedule();
        assertThat(second.mOwner.answers(new DaemonId("vm"))).isTrue();
        OwnerFixture third = second.createSuccessor();
        third.addVm("other", 8_000);
        Duration end = OwnerFixture.SETTINGS.earlierOwnerEnd();
        third.advanceTime(end.minusMillis(100), "other");
        assertThat(third.mStarts).isEmpty();
    }

    /** Guards against leases that end while a VM's return waits for a slow store. */
    @Test
    void vmThatIsHeardFromSoonIsAnsweredAtOnce() throws IOException {
        OwnerFixture.Order order = runOne();
        OwnerFixture next = mFormer.createSuccessor();
        next.addVm("other", 8_000);
        next.advanceTime(Duration.ofSeconds(2), "other");
        next.storeAndSchedule();
        reportRun(next, "vm", order);
        assertThat(next.mOwner.answers(new DaemonId("vm"))).isTrue();
    }

    /** Guards against new jobs that wait for the VMs of the former owner. */
    @Test
    void newJobDoesNotWaitForUnreportedVms() throws IOException {
        runOne();
        OwnerFixture next = mFormer.createSuccessor();
        next.addVm("other", 8_000);
        next.submit("b", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        next.storeAndSchedule();
        assertThat(next.mStarts).hasSize(1);
    }

    /** Guards against lost work after a loss of all processes, when workers have started anew. */
    @Test
    void inheritedTaskStartsAtOnceWhenItsWorkerIsNew() throws IOException {
        runOne();
        OwnerFixture next = mFormer.createSuccessor();
        next.report("vm", OwnerFixture.worker("vm", 2, 8_000, false), List.of(), List.of(), false);
        next.storeAndSchedule();
        assertThat(next.mStarts).hasSize(1);
    }

    /** Guards against a run that goes on after its job was cancelled under the former owner. */
    @Test
    void runOfACancelledJobIsStopped() throws IOException {
        OwnerFixture.Order order = runOne();
        mFormer.mOwner.cancel(order.mTask().job());
        mFormer.storeAndSchedule();
        OwnerFixture next = mFormer.createSuccessor();
        reportRun(next, "vm", order);
        assertThat(next.mStops).hasSize(1);
    }

    /** Guards against a failure that counts again because the worker lists it to the new owner. */
    @Test
    void failureThatIsStoredDoesNotCountAgain() throws IOException {
        OwnerFixture.Order order = runOne();
        mFormer.reportEnd(order, EndKind.FAILED, "");
        mFormer.storeAndSchedule();
        OwnerFixture next = mFormer.createSuccessor();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRunNumber(), EndKind.FAILED, "");
        next.report(
                "vm", OwnerFixture.worker("vm", 1, 8_000, false), List.of(), List.of(end), false);
        next.storeAndSchedule();
        assertThat(next.mOwner.find(order.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.RUNNING);
    }

    /** Guards against a failure that is not counted when a later one is heard of first. */
    @Test
    void failuresCountInWhateverOrderTheNextOwnerHearsOfThem() throws IOException {
        mFormer.addVm("vm", 8_000);
        mFormer.addVm("other", 8_000);
        mFormer.submit("a", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        mFormer.storeAndSchedule();
        OwnerFixture.Order first = mFormer.lastStart();
        mFormer.reportStarted(first);
        mFormer.reportEnd(first, EndKind.FAILED, "");
        mFormer.advanceTime(Duration.ofSeconds(1), "vm", "other");
        OwnerFixture.Order second = mFormer.lastStart();
        mFormer.reportStarted(second);
        assertThat(second.mVm()).isNotEqualTo(first.mVm());
        OwnerFixture next = mFormer.createSuccessor();
        reportFailure(next, second);
        reportFailure(next, first);
        next.storeAndSchedule();
        next.advanceTime(Duration.ofSeconds(1), "vm", "other");
        assertThat(next.mStarts).isEmpty();
        assertThat(next.mOwner.find(first.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.FAILED);
    }

    private static void reportFailure(OwnerFixture owner, OwnerFixture.Order order) {
        String vm = order.mVm().value();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRunNumber(), EndKind.FAILED, "");
        owner.report(vm, OwnerFixture.worker(vm, 1, 8_000, false), List.of(), List.of(end), false);
    }

    /** Guards against a task that is kept on two VMs. */
    @Test
    void secondRunOfATaskIsStopped() throws IOException {
        OwnerFixture.Order order = runOne();
        OwnerFixture next = mFormer.createSuccessor();
        reportRun(next, "vm", order);
        reportRun(next, "other", order);
        assertThat(next.mStops).hasSize(1);
        assertThat(next.mStops.getFirst().mVm()).isEqualTo(new DaemonId("other"));
    }

    /** Guards against giving up an order that a lost agent process may still have on its way. */
    @Test
    void orderOfARestartedAgentIsGivenUpOnlyWhenItCanNotStartAnyMore() {
        runOne();
        mFormer.report(
                "vm", OwnerFixture.worker("vm", 1, 8_000, false), List.of(), List.of(), false);
        mFormer.storeAndSchedule();
        assertThat(mFormer.mStarts).hasSize(1);
        mFormer.advanceTime(OwnerFixture.SETTINGS.orderSettling().plusMillis(1), "vm");
        mFormer.mOwner.progress(
                new DaemonId("vm"), OwnerFixture.worker("vm", 1, 0, false).id(), List.of());
        mFormer.mOwner.schedule();
        assertThat(mFormer.mStarts).hasSize(2);
    }
}
