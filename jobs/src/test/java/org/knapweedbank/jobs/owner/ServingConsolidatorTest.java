package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** Serving tasks that are spread over VMs on which fillers wait for room. */
class ServingConsolidatorTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();
    private final List<OwnerFixture.Order> mServing = new ArrayList<>();

    /** Two VMs, the second with a small serving task of a job with the given budget. */
    private void spread(int budget) {
        mFixture.addVm("a", 8_000);
        mFixture.submit("large", OwnerFixture.servingStep(1, 6_000, -1));
        mFixture.storeAndSchedule();
        mServing.add(mFixture.lastStart());
        mFixture.submit("wide", OwnerFixture.step(1, 2_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        OwnerFixture.Order batch = mFixture.lastStart();
        mFixture.addVm("b", 8_000);
        mFixture.submit("small", OwnerFixture.servingStep(1, 1_000, budget));
        mFixture.storeAndSchedule();
        mServing.add(mFixture.lastStart());
        mFixture.reportStarted(batch);
        mFixture.reportEnd(batch, EndKind.DONE, "");
    }

    private void pass(int seconds) {
        for (int i = 0; i < seconds; i++) {
            for (OwnerFixture.Order order : mServing) {
                RunningTask row = new RunningTask(order.mTask(), order.mRunNumber(), "", 100, 40);
                mFixture.mOwner.progress(
                        order.mVm(),
                        OwnerFixture.worker(order.mVm().value(), 1, 0, false).id(),
                        List.of(row));
            }
            mFixture.advanceTime(Duration.ofSeconds(1), "a", "b");
        }
    }

    private void submitFillers() {
        mFixture.submit("fill", OwnerFixture.step(4, 3_500, FILLER));
        mFixture.storeAndSchedule();
    }

    /** Guards against one small serving task that keeps fillers from a whole VM. */
    @Test
    void lonelyServingTaskMovesWhenFillersLackRoom() {
        spread(-1);
        assertThat(mServing.getLast().mVm().value()).isEqualTo("b");
        submitFillers();
        pass(3);
        OwnerFixture.Order moved = mServing.removeLast();
        assertThat(mFixture.mStops.stream().map(OwnerFixture.Order::mTask).distinct())
                .containsExactly(moved.mTask());
        mFixture.reportEnd(moved, EndKind.STOPPED, "");
        List<OwnerFixture.Order> starts =
                mFixture.mStarts.stream().filter(o -> o.mTask().equals(moved.mTask())).toList();
        assertThat(starts).hasSize(2);
        assertThat(starts.getLast().mVm().value()).isEqualTo("a");
    }

    /** Guards against disruptions that nobody gains from. */
    @Test
    void servingTasksStayWhileNoFillerLacksRoom() {
        spread(-1);
        pass(4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against a stop that the disruption budget of the step forbids. */
    @Test
    void servingTaskWithoutBudgetStays() {
        spread(0);
        submitFillers();
        pass(4);
        assertThat(mFixture.mStops).isEmpty();
    }
}
