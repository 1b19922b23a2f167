package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/** Life of jobs under one owner. */
class JobOwnerTest {
    private static final StepTraits BATCH = StepTraits.BATCH;
    private static final StepTraits LASTING = new StepTraits(false, false, false, true, false);

    private final OwnerWorld mWorld = new OwnerWorld();

    /** Guards against work of a job whose acceptance was never confirmed. */
    @Test
    void jobThatIsNotStoredDoesNotStart() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.mOwner.schedule();
        assertThat(mWorld.mStarts).isEmpty();
        assertThat(mWorld.mOwner.find(new org.knapweedbank.model.JobId("a"))).isEmpty();
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against orders to a VM that a later owner would not know of. */
    @Test
    void vmGetsOrdersOnlyOnceTheStoredListNamesIt() {
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.report("vm", OwnerWorld.worker("vm", 1, 8_000, false), List.of(), List.of(), true);
        mWorld.mOwner.schedule();
        assertThat(mWorld.mStarts).isEmpty();
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against a step that starts before those that it depends on have ended. */
    @Test
    void stepWaitsForAllTasksOfEarlierSteps() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(2, 1_000, BATCH), OwnerWorld.step(1, 1_000, BATCH, 0));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(2);
        mWorld.end(mWorld.mStarts.get(0), EndKind.DONE, "");
        assertThat(mWorld.mStarts).hasSize(2);
        mWorld.end(mWorld.mStarts.get(1), EndKind.DONE, "");
        assertThat(mWorld.mStarts).hasSize(3);
        assertThat(mWorld.last().mTask().step()).isEqualTo(1);
    }

    /** Guards against a final state that a total loss of all processes would take back. */
    @Test
    void completionShowsOnlyOnceItIsStored() {
        mWorld.join("vm", 8_000);
        Job job = mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.end(mWorld.last(), EndKind.DONE, "");
        assertThat(job.state()).isEqualTo(JobState.RUNNING);
        assertThat(mWorld.mStoredEnds.get(new DaemonId("vm"))).isEqualTo(0);
        mWorld.store();
        assertThat(job.state()).isEqualTo(JobState.COMPLETED);
        assertThat(mWorld.mStoredEnds.get(new DaemonId("vm"))).isEqualTo(1);
    }

    /** Guards against more runs than the queue allows, and against a failure without cause. */
    @Test
    void taskFailsAsOftenAsItsQueueAllows() {
        mWorld.join("vm", 8_000);
        Job job = mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.end(mWorld.last(), EndKind.LAPSED, "");
        mWorld.end(mWorld.last(), EndKind.FAILED, "");
        mWorld.store();
        mWorld.pass(Duration.ofSeconds(1), "vm");
        assertThat(mWorld.mStarts).hasSize(3);
        mWorld.end(mWorld.last(), EndKind.FAILED, "");
        mWorld.store();
        mWorld.pass(Duration.ofSeconds(1), "vm");
        assertThat(mWorld.mStarts).hasSize(3);
        assertThat(job.state()).isEqualTo(JobState.FAILED);
    }

    /** Guards against counting a failure twice when a worker lists it again. */
    @Test
    void repeatedEndIsTakenNoteOfOnce() {
        mWorld.join("vm", 8_000);
        Job job = mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        var end =
                new org.knapweedbank.jobs.EndedTask(
                        1, mWorld.last().mTask(), mWorld.last().mRun(), EndKind.FAILED, "");
        var worker = OwnerWorld.worker("vm", 1, 0, false).id();
        mWorld.mOwner.ended(new DaemonId("vm"), worker, List.of(end));
        mWorld.mOwner.ended(new DaemonId("vm"), worker, List.of(end));
        mWorld.store();
        assertThat(job.state()).isEqualTo(JobState.RUNNING);
    }

    /** Guards against tasks of a cancelled job that run on or start. */
    @Test
    void cancelStopsWhatRunsAndStartsNothing() {
        mWorld.join("vm", 1_000);
        Job job = mWorld.submit("a", OwnerWorld.step(2, 1_000, BATCH));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.mOwner.cancel(job.id());
        assertThat(mWorld.mStops).hasSize(1);
        assertThat(job.state()).isNotEqualTo(JobState.CANCELLED);
        mWorld.end(mWorld.last(), EndKind.STOPPED, "");
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
        assertThat(job.state()).isEqualTo(JobState.CANCELLED);
    }

    /** Guards against work beyond the capacity of a VM; a run being stopped still counts. */
    @Test
    void roomIsFreeOnlyWhenTheEndIsListed() {
        mWorld.join("vm", 1_500);
        Job first = mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.submit("b", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.mOwner.cancel(first.id());
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.end(mWorld.last(), EndKind.STOPPED, "");
        assertThat(mWorld.mStarts).hasSize(2);
    }

    /** Guards against a standing task that stays down after any end. */
    @Test
    void longRunningTaskIsStartedAgainHoweverItEnds() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, LASTING));
        mWorld.store();
        for (EndKind how : EndKind.values()) {
            mWorld.end(mWorld.last(), how, "");
            mWorld.pass(Duration.ofSeconds(1), "vm");
        }
        assertThat(mWorld.mStarts).hasSize(1 + EndKind.values().length);
        assertThat(mWorld.mStarts.stream().mapToLong(OwnerWorld.Order::mRun).boxed().toList())
                .isInStrictOrder();
    }

    /** Guards against lost progress. */
    @Test
    void nextRunResumesFromTheCheckpoint() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.end(mWorld.last(), EndKind.STOPPED, "half");
        mWorld.store();
        assertThat(mWorld.last().mCheckpoint()).isEqualTo("half");
    }

    /** Guards against starts in a data centre or on a VM that has been taken out. */
    @Test
    void drainingAndEvacuatedVmsGetNothing() {
        mWorld.join("vm", 8_000);
        mWorld.mOwner.evacuate(Set.of(OwnerWorld.DC));
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        assertThat(mWorld.mStarts).isEmpty();
        mWorld.mOwner.evacuate(Set.of());
        mWorld.mOwner.update(new DaemonId("vm"), OwnerWorld.worker("vm", 1, 8_000, true));
        mWorld.mOwner.schedule();
        assertThat(mWorld.mStarts).isEmpty();
    }

    /** Guards against starts allowed by an outdated view of evacuations. */
    @Test
    void nothingStartsOnAnOldView() {
        mWorld.join("vm", 8_000);
        mWorld.mClock.advance(OwnerWorld.SETTINGS.viewAge().plusMillis(1));
        mWorld.ping("vm");
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        assertThat(mWorld.mStarts).isEmpty();
        mWorld.mOwner.viewIsCurrent();
        mWorld.mOwner.schedule();
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against renewals by an owner that may have been replaced. */
    @Test
    void agentsAreNotAnsweredWithoutConfirmedOwnership() {
        mWorld.join("vm", 8_000);
        mWorld.mClock.advance(OwnerWorld.SETTINGS.renewalAuthority().plusMillis(1));
        assertThat(mWorld.mOwner.answers(new DaemonId("vm"))).isFalse();
        mWorld.mOwner.confirmed();
        assertThat(mWorld.mOwner.answers(new DaemonId("vm"))).isTrue();
    }

    /** Guards against a second run while the first may still be alive out of reach. */
    @Test
    void taskOfAnUnreachableVmRunsElsewhereOnlyAfterItsLease() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.started(mWorld.last());
        mWorld.join("other", 8_000);
        mWorld.mOwner.disconnected(new DaemonId("vm"));
        Duration lease = OwnerWorld.SETTINGS.leaseEnd();
        mWorld.pass(lease.minusMillis(100), "other");
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.pass(Duration.ofMillis(200), "other");
        assertThat(mWorld.mStarts).hasSize(2);
        assertThat(mWorld.last().mVm()).isEqualTo(new DaemonId("other"));
    }

    /** Guards against waiting for a lease when the worker is known to have started anew. */
    @Test
    void newIncarnationOfAWorkerEndsTheRunsOfTheFormer() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        mWorld.report("vm", OwnerWorld.worker("vm", 2, 8_000, false), List.of(), List.of(), true);
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(2);
    }

    /** Guards against a late report of an incarnation that has ended. */
    @Test
    void reportOfAFormerIncarnationIsIgnored() {
        mWorld.report("vm", OwnerWorld.worker("vm", 2, 8_000, false), List.of(), List.of(), true);
        mWorld.report("vm", OwnerWorld.worker("vm", 1, 500, false), List.of(), List.of(), true);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against a hot loop of orders to a VM that has no room after all. */
    @Test
    void refusedStartPausesTheVm() {
        mWorld.join("vm", 8_000);
        mWorld.submit("a", OwnerWorld.step(1, 1_000, BATCH));
        mWorld.store();
        var order = mWorld.last();
        mWorld.mOwner.outcome(order.mVm(), order.mTask(), order.mRun(), StartOutcome.REFUSED);
        mWorld.mOwner.schedule();
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.pass(Duration.ofSeconds(1), "vm");
        assertThat(mWorld.mStarts).hasSize(2);
    }
}
