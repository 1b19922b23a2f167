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

    private final OwnerWorld mWorld = new OwnerWorld();
    private final List<OwnerWorld.Order> mServing = new ArrayList<>();

    /** Two VMs, the second with a small serving task of a job with the given budget. */
    private void spread(int budget) {
        mWorld.join("a", 8_000);
        mWorld.submit("large", OwnerWorld.serving(1, 6_000, -1));
        mWorld.store();
        mServing.add(mWorld.last());
        mWorld.submit("wide", OwnerWorld.step(1, 2_000, StepTraits.BATCH));
        mWorld.store();
        OwnerWorld.Order batch = mWorld.last();
        mWorld.join("b", 8_000);
        mWorld.submit("small", OwnerWorld.serving(1, 1_000, budget));
        mWorld.store();
        mServing.add(mWorld.last());
        mWorld.started(batch);
        mWorld.end(batch, EndKind.DONE, "");
    }

    private void pass(int seconds) {
        for (int i = 0; i < seconds; i++) {
            for (OwnerWorld.Order order : mServing) {
                RunningTask row = new RunningTask(order.mTask(), order.mRun(), "", 100, 40);
                mWorld.mOwner.progress(
                        order.mVm(),
                        OwnerWorld.worker(order.mVm().value(), 1, 0, false).id(),
                        List.of(row));
            }
            mWorld.pass(Duration.ofSeconds(1), "a", "b");
        }
    }

    private void submitFillers() {
        mWorld.submit("fill", OwnerWorld.step(4, 3_500, FILLER));
        mWorld.store();
    }

    /** Guards against one small serving task that keeps fillers from a whole VM. */
    @Test
    void lonelyServingTaskMovesWhenFillersLackRoom() {
        spread(-1);
        assertThat(mServing.getLast().mVm().value()).isEqualTo("b");
        submitFillers();
        pass(3);
        OwnerWorld.Order moved = mServing.removeLast();
        assertThat(mWorld.mStops.stream().map(OwnerWorld.Order::mTask).distinct())
                .containsExactly(moved.mTask());
        mWorld.end(moved, EndKind.STOPPED, "");
        List<OwnerWorld.Order> starts =
                mWorld.mStarts.stream().filter(o -> o.mTask().equals(moved.mTask())).toList();
        assertThat(starts).hasSize(2);
        assertThat(starts.getLast().mVm().value()).isEqualTo("a");
    }

    /** Guards against disruptions that nobody gains from. */
    @Test
    void servingTasksStayWhileNoFillerLacksRoom() {
        spread(-1);
        pass(4);
        assertThat(mWorld.mStops).isEmpty();
    }

    /** Guards against a stop that the disruption budget of the step forbids. */
    @Test
    void servingTaskWithoutBudgetStays() {
        spread(0);
        submitFillers();
        pass(4);
        assertThat(mWorld.mStops).isEmpty();
    }
}
