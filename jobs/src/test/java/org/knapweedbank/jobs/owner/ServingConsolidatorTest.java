package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/**
 * Tests of moving serving tasks together when they are spread over VMs on which fillers wait for
 * room.
 */
class ServingConsolidatorTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();
    private final List<OwnerFixture.Order> mServing = new ArrayList<>();

    /**
     * Sets up two VMs, the second of which runs only a small serving task.
     *
     * @param disruptionBudget disruption budget of the small task's step
     */
    private void startSpreadServingTasks(int disruptionBudget) {
        mFixture.addVm("a", 8_000);
        mFixture.submit("large", OwnerFixture.servingStep(1, 6_000, -1));
        mFixture.storeAndSchedule();
        mServing.add(mFixture.lastStart());
        mFixture.submit("wide", OwnerFixture.step(1, 2_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        OwnerFixture.Order batch = mFixture.lastStart();
        mFixture.addVm("b", 8_000);
        mFixture.submit("small", OwnerFixture.servingStep(1, 1_000, disruptionBudget));
        mFixture.storeAndSchedule();
        mServing.add(mFixture.lastStart());
        mFixture.reportStarted(batch);
        mFixture.reportEnd(batch, EndKind.DONE, "");
    }

    /**
     * Advances the clock second by second while the serving tasks report a tail latency of 40
     * milliseconds.
     */
    private void advanceSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            for (OwnerFixture.Order order : mServing) {
                RunStatus run = new RunStatus(order.mTask(), order.mRunNumber(), "", 100, 40);
                mFixture.mOwner.handleProgress(
                        order.mVm(),
                        OwnerFixture.worker(order.mVm().value(), 1, 0, false).id(),
                        List.of(),
                        List.of(run),
                        mFixture.currentLists());
            }
            mFixture.advanceTime(Duration.ofSeconds(1), "a", "b");
        }
    }

    private void submitFillers() {
        mFixture.submit("fill", OwnerFixture.step(4, 3_500, FILLER));
        mFixture.storeAndSchedule();
    }

    /** Guards against one small serving task that keeps fillers from using a whole VM. */
    @Test
    void singleServingTaskMovesWhenFillersLackRoom() {
        startSpreadServingTasks(-1);
        assertThat(mServing.getLast().mVm().value()).isEqualTo("b");
        submitFillers();
        advanceSeconds(3);
        OwnerFixture.Order moved = mServing.removeLast();
        assertThat(mFixture.mStops.stream().map(OwnerFixture.Order::mTask).distinct())
                .containsExactly(moved.mTask());
        mFixture.reportEnd(moved, EndKind.STOPPED, "");
        List<OwnerFixture.Order> starts =
                mFixture.mStarts.stream().filter(o -> o.mTask().equals(moved.mTask())).toList();
        assertThat(starts).hasSize(2);
        assertThat(starts.getLast().mVm().value()).isEqualTo("a");
    }

    /** Guards against moving serving tasks when no filler needs the room. */
    @Test
    void servingTasksStayWhenNoFillerLacksRoom() {
        startSpreadServingTasks(-1);
        advanceSeconds(4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against stopping a task although the disruption budget of its step forbids it. */
    @Test
    void servingTaskWithoutDisruptionBudgetStays() {
        startSpreadServingTasks(0);
        submitFillers();
        advanceSeconds(4);
        assertThat(mFixture.mStops).isEmpty();
    }
}
