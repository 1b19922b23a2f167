package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.Resources;

/** Where and in which order tasks are started. */
class PlacementTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerWorld mWorld = new OwnerWorld();

    private static StepSpec limited(int count, int maxPerVm, String label) {
        return new StepSpec(
                count,
                new Resources(100, 10, 0),
                Duration.ofSeconds(1),
                List.of(),
                StepTraits.BATCH,
                new PlacementRule(label, "", false, maxPerVm),
                "",
                Duration.ZERO,
                -1);
    }

    /** Guards against more tasks of a step on one VM than the caller allows. */
    @Test
    void limitPerVmHolds() {
        mWorld.join("a", 8_000);
        mWorld.join("b", 8_000);
        mWorld.submit("j", limited(6, 2, ""));
        mWorld.store();
        var counts =
                mWorld.mStarts.stream()
                        .collect(Collectors.groupingBy(o -> o.mVm(), Collectors.counting()));
        assertThat(counts.values()).containsExactly(2L, 2L);
    }

    /** Guards against tasks on VMs without the label that they need. */
    @Test
    void requiredLabelHolds() {
        mWorld.join("a", 8_000);
        mWorld.submit("j", limited(1, 0, "gpu"));
        mWorld.store();
        assertThat(mWorld.mStarts).isEmpty();
        mWorld.submit("k", limited(1, 0, "a"));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against a job that can never run and holds back those behind it. */
    @Test
    void jobThatFitsNowhereDoesNotBlockOthers() {
        mWorld.join("a", 1_000);
        mWorld.submit("huge", OwnerWorld.step(1, 50_000, StepTraits.BATCH));
        mWorld.submit("small", OwnerWorld.step(1, 500, StepTraits.BATCH));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
        assertThat(mWorld.last().mTask().job().value()).isEqualTo("small");
    }

    /** Guards against a filler that never runs because no VM can spare its whole demand. */
    @Test
    void fillerThatHasWaitedTakesAPartOfItsDemand() {
        mWorld.join("a", 4_000);
        mWorld.submit("busy", OwnerWorld.step(1, 2_000, StepTraits.BATCH));
        mWorld.submit("filler", OwnerWorld.step(1, 3_500, FILLER));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.pass(Duration.ofSeconds(2), "a");
        assertThat(mWorld.mStarts).hasSize(2);
    }

    /** Guards against jobs that all miss their objective because late ones go first. */
    @Test
    void jobThatCanMeetItsObjectiveGoesBeforeOneThatCanNot() {
        mWorld.submit("late", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        mWorld.store();
        mWorld.pass(Duration.ofSeconds(5));
        mWorld.submit("fresh", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        mWorld.store();
        mWorld.join("a", 1_000);
        assertThat(mWorld.last().mTask().job().value()).isEqualTo("fresh");
        mWorld.end(mWorld.last(), EndKind.DONE, "");
        assertThat(mWorld.last().mTask().job().value()).isEqualTo("late");
    }

    /** Guards against work thrown away: new jobs that take the room of one that is nearly done. */
    @Test
    void lateJobThatIsNearlyDoneGoesBeforeANewOne() {
        mWorld.join("a", 1_000);
        mWorld.submit(
                "begun",
                OwnerWorld.step(9, 1_000, StepTraits.BATCH),
                OwnerWorld.step(1, 1_000, StepTraits.BATCH, 0));
        mWorld.store();
        for (int i = 0; i < 8; i++) {
            mWorld.pass(Duration.ofSeconds(1), "a");
            mWorld.end(mWorld.last(), EndKind.DONE, "");
        }
        mWorld.submit("new", OwnerWorld.step(9, 1_000, StepTraits.BATCH));
        mWorld.store();
        for (int i = 0; i < 2; i++) {
            mWorld.pass(Duration.ofSeconds(1), "a");
            assertThat(mWorld.last().mTask().job().value()).isEqualTo("begun");
            mWorld.end(mWorld.last(), EndKind.DONE, "");
        }
        assertThat(mWorld.last().mTask().job().value()).isEqualTo("new");
    }

    /** Guards against a small job that waits for a large one that came a moment earlier. */
    @Test
    void ofTwoNewJobsTheSmallerGoesFirst() {
        mWorld.submit("large", OwnerWorld.step(8, 1_000, StepTraits.BATCH));
        mWorld.submit("small", OwnerWorld.step(1, 1_000, StepTraits.BATCH));
        mWorld.store();
        mWorld.join("a", 1_000);
        assertThat(mWorld.last().mTask().job().value()).isEqualTo("small");
    }

    /** Guards against a mix of steps on each VM, of which one always has its peak. */
    @Test
    void servingTaskGoesBackToTheVmOfItsStep() {
        mWorld.join("a", 8_000);
        mWorld.submit("web", OwnerWorld.serving(4, 1_000, -1));
        mWorld.store();
        OwnerWorld.Order first = mWorld.last();
        mWorld.join("b", 8_000);
        mWorld.submit("other", OwnerWorld.serving(1, 6_000, -1));
        mWorld.store();
        assertThat(mWorld.last().mVm().value()).isEqualTo("b");
        mWorld.end(first, EndKind.LAPSED, "");
        mWorld.pass(Duration.ofSeconds(1), "a", "b");
        assertThat(mWorld.last().mTask()).isEqualTo(first.mTask());
        assertThat(mWorld.last().mVm().value()).isEqualTo("a");
    }

    /** Guards against small batch tasks that break up the VMs on which fillers disturb nobody. */
    @Test
    void batchTasksTakeTheSmallestRoom() {
        mWorld.join("a", 8_000);
        mWorld.submit("big", OwnerWorld.step(1, 6_000, StepTraits.BATCH));
        mWorld.store();
        mWorld.join("b", 8_000);
        mWorld.submit("small", OwnerWorld.step(2, 500, StepTraits.BATCH));
        mWorld.store();
        assertThat(mWorld.last().mVm().value()).isEqualTo("a");
    }

    /** A serving task that has most of a VM, with a given tail latency. */
    private void serve(long servingCpu, long latencyMillis) {
        mWorld.join("a", 8_000);
        mWorld.submit("web", OwnerWorld.serving(1, servingCpu, -1));
        mWorld.store();
        OwnerWorld.Order web = mWorld.last();
        RunningTask row = new RunningTask(web.mTask(), web.mRun(), "", 100, latencyMillis);
        mWorld.mOwner.progress(web.mVm(), OwnerWorld.worker("a", 1, 0, false).id(), List.of(row));
    }

    /** Guards against waiting fillers that slow down all others of a VM by joining them. */
    @Test
    void fillerThatHasWaitedDisturbsNoMoreThanOneThatHasNot() {
        serve(6_000, 32);
        mWorld.submit("filler", OwnerWorld.step(1, 800, FILLER));
        mWorld.store();
        mWorld.pass(Duration.ofSeconds(2), "a");
        assertThat(mWorld.mStarts).hasSize(1);
    }

    /** Guards against room beside serving tasks that stays empty while their load is low. */
    @Test
    void fillersGetWhatIdleServingTasksReserve() {
        serve(6_000, 10);
        mWorld.submit("filler", OwnerWorld.step(3, 1_500, FILLER));
        mWorld.store();
        assertThat(mWorld.mStarts).hasSize(4);
    }

    /** An idle filler job beside a serving task near its limit; returns the number of starts. */
    private int startsBesideServing(long servingCpu) {
        serve(servingCpu, 48);
        mWorld.submit("filler", OwnerWorld.step(2, 3_500, FILLER));
        mWorld.store();
        mWorld.pass(Duration.ofMillis(1_400), "a");
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.pass(Duration.ofMillis(200), "a");
        return mWorld.mStarts.size();
    }

    /** Guards against a job that never runs because each VM has a serving task near its limit. */
    @Test
    void fillerOfAnIdleJobTakesAnyRoom() {
        assertThat(startsBesideServing(4_000)).isEqualTo(2);
    }

    /** Guards against a crawling task that ties its job to a VM where it disturbs serving tasks. */
    @Test
    void fillerOfAnIdleJobWaitsWhileMostIsReserved() {
        assertThat(startsBesideServing(6_000)).isEqualTo(1);
    }
}
