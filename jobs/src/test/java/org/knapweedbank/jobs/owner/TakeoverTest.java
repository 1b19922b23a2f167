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
    private final OwnerWorld mFormer = new OwnerWorld();

    private OwnerWorld.Order runOne() {
        mFormer.join("vm", 8_000);
        mFormer.submit("a", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        mFormer.store();
        mFormer.started(mFormer.last());
        return mFormer.last();
    }

    /** A VM tells a new owner that it runs what the former one ordered. */
    private static void reportRun(OwnerWorld owner, String vm, OwnerWorld.Order order) {
        RunningTask row = new RunningTask(order.mTask(), order.mRun(), "", 10, 1_000);
        owner.report(vm, OwnerWorld.worker(vm, 1, 8_000, false), List.of(row), List.of(), false);
    }

    /** Guards against a second run of a task that runs where the new owner has not looked yet. */
    @Test
    void inheritedTaskWaitsUntilAllKnownVmsHaveReported() throws IOException {
        OwnerWorld.Order order = runOne();
        OwnerWorld next = mFormer.successor();
        next.join("other", 8_000);
        assertThat(next.mStarts).isEmpty();
        reportRun(next, "vm", order);
        next.store();
        assertThat(next.mStarts).isEmpty();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRun(), EndKind.DONE, "");
        next.mOwner.ended(
                new DaemonId("vm"), OwnerWorld.worker("vm", 1, 0, false).id(), List.of(end));
        next.store();
        assertThat(next.mOwner.find(order.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.COMPLETED);
    }

    /** Guards against waiting for ever for a VM that is gone. */
    @Test
    void inheritedTaskStartsWhenNothingOfTheFormerOwnerCanRunAnyMore() throws IOException {
        OwnerWorld.Order order = runOne();
        OwnerWorld next = mFormer.successor();
        next.join("other", 8_000);
        Duration end = OwnerWorld.SETTINGS.earlierOwnerEnd();
        next.pass(end.minusMillis(100), "other");
        assertThat(next.mStarts).isEmpty();
        next.pass(Duration.ofMillis(200), "other");
        assertThat(next.mStarts).hasSize(1);
        assertThat(next.last().mRun()).isGreaterThan(order.mRun());
    }

    /** Guards against a wait for a VM that is gone that begins anew with each owner. */
    @Test
    void silenceOfAVmCountsOverTakeovers() throws IOException {
        runOne();
        OwnerWorld second = mFormer.successor();
        second.join("other", 8_000);
        Duration end = OwnerWorld.SETTINGS.earlierOwnerEnd();
        second.pass(end.dividedBy(2), "other");
        second.store();
        OwnerWorld third = second.successor();
        third.join("other", 8_000);
        third.pass(end.dividedBy(2).minusMillis(100), "other");
        assertThat(third.mStarts).isEmpty();
        third.pass(Duration.ofMillis(1_200), "other");
        assertThat(third.mStarts).hasSize(1);
    }

    /** Guards against a second run on account of a silence that has ended since it was stored. */
    @Test
    void vmThatWasSilentIsAnsweredOnceItsReturnIsStored() throws IOException {
        OwnerWorld.Order order = runOne();
        OwnerWorld second = mFormer.successor();
        second.join("other", 8_000);
        second.pass(Duration.ofSeconds(5), "other");
        second.store();
        reportRun(second, "vm", order);
        assertThat(second.mOwner.answers(new DaemonId("vm"))).isFalse();
        second.store();
        assertThat(second.mOwner.answers(new DaemonId("vm"))).isTrue();
        OwnerWorld third = second.successor();
        third.join("other", 8_000);
        Duration end = OwnerWorld.SETTINGS.earlierOwnerEnd();
        third.pass(end.minusMillis(100), "other");
        assertThat(third.mStarts).isEmpty();
    }

    /** Guards against leases that end while a VM's return waits for a slow store. */
    @Test
    void vmThatIsHeardFromSoonIsAnsweredAtOnce() throws IOException {
        OwnerWorld.Order order = runOne();
        OwnerWorld next = mFormer.successor();
        next.join("other", 8_000);
        next.pass(Duration.ofSeconds(2), "other");
        next.store();
        reportRun(next, "vm", order);
        assertThat(next.mOwner.answers(new DaemonId("vm"))).isTrue();
    }

    /** Guards against new jobs that wait for the VMs of the former owner. */
    @Test
    void newJobDoesNotWaitForUnreportedVms() throws IOException {
        runOne();
        OwnerWorld next = mFormer.successor();
        next.join("other", 8_000);
        next.submit("b", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        next.store();
        assertThat(next.mStarts).hasSize(1);
    }

    /** Guards against lost work after a loss of all processes, when workers have started anew. */
    @Test
    void inheritedTaskStartsAtOnceWhenItsWorkerIsNew() throws IOException {
        runOne();
        OwnerWorld next = mFormer.successor();
        next.report("vm", OwnerWorld.worker("vm", 2, 8_000, false), List.of(), List.of(), false);
        next.store();
        assertThat(next.mStarts).hasSize(1);
    }

    /** Guards against a run that goes on after its job was cancelled under the former owner. */
    @Test
    void runOfACancelledJobIsStopped() throws IOException {
        OwnerWorld.Order order = runOne();
        mFormer.mOwner.cancel(order.mTask().job());
        mFormer.store();
        OwnerWorld next = mFormer.successor();
        reportRun(next, "vm", order);
        assertThat(next.mStops).hasSize(1);
    }

    /** Guards against a failure that counts again because the worker lists it to the new owner. */
    @Test
    void failureThatIsStoredDoesNotCountAgain() throws IOException {
        OwnerWorld.Order order = runOne();
        mFormer.end(order, EndKind.FAILED, "");
        mFormer.store();
        OwnerWorld next = mFormer.successor();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRun(), EndKind.FAILED, "");
        next.report("vm", OwnerWorld.worker("vm", 1, 8_000, false), List.of(), List.of(end), false);
        next.store();
        assertThat(next.mOwner.find(order.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.RUNNING);
    }

    /** Guards against a failure that is not counted when a later one is heard of first. */
    @Test
    void failuresCountInWhateverOrderTheNextOwnerHearsOfThem() throws IOException {
        mFormer.join("vm", 8_000);
        mFormer.join("other", 8_000);
        mFormer.submit("a", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        mFormer.store();
        OwnerWorld.Order first = mFormer.last();
        mFormer.started(first);
        mFormer.end(first, EndKind.FAILED, "");
        mFormer.pass(Duration.ofSeconds(1), "vm", "other");
        OwnerWorld.Order second = mFormer.last();
        mFormer.started(second);
        assertThat(second.mVm()).isNotEqualTo(first.mVm());
        OwnerWorld next = mFormer.successor();
        reportFailure(next, second);
        reportFailure(next, first);
        next.store();
        next.pass(Duration.ofSeconds(1), "vm", "other");
        assertThat(next.mStarts).isEmpty();
        assertThat(next.mOwner.find(first.mTask().job()).orElseThrow().state())
                .isEqualTo(JobState.FAILED);
    }

    private static void reportFailure(OwnerWorld owner, OwnerWorld.Order order) {
        String vm = order.mVm().value();
        EndedTask end = new EndedTask(1, order.mTask(), order.mRun(), EndKind.FAILED, "");
        owner.report(vm, OwnerWorld.worker(vm, 1, 8_000, false), List.of(), List.of(end), false);
    }

    /** Guards against a task that is kept on two VMs. */
    @Test
    void secondRunOfATaskIsStopped() throws IOException {
        OwnerWorld.Order order = runOne();
        OwnerWorld next = mFormer.successor();
        reportRun(next, "vm", order);
        reportRun(next, "other", order);
        assertThat(next.mStops).hasSize(1);
        assertThat(next.mStops.getFirst().mVm()).isEqualTo(new DaemonId("other"));
    }

    /** Guards against giving up an order that a lost agent process may still have on its way. */
    @Test
    void orderOfARestartedAgentIsGivenUpOnlyWhenItCanNotStartAnyMore() {
        runOne();
        mFormer.report("vm", OwnerWorld.worker("vm", 1, 8_000, false), List.of(), List.of(), false);
        mFormer.store();
        assertThat(mFormer.mStarts).hasSize(1);
        mFormer.pass(OwnerWorld.SETTINGS.orderSettling().plusMillis(1), "vm");
        mFormer.mOwner.progress(
                new DaemonId("vm"), OwnerWorld.worker("vm", 1, 0, false).id(), List.of());
        mFormer.mOwner.schedule();
        assertThat(mFormer.mStarts).hasSize(2);
    }
}
