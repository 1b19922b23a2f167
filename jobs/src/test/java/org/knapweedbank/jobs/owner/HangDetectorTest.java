package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** Workers that answer while their tasks stand still. */
class HangDetectorTest {
    private final OwnerWorld mWorld = new OwnerWorld();

    private void progress(String vm, int... percents) {
        List<RunningTask> rows =
                IntStream.range(0, percents.length)
                        .mapToObj(
                                i ->
                                        new RunningTask(
                                                mWorld.mStarts.get(i).mTask(),
                                                mWorld.mStarts.get(i).mRun(),
                                                "",
                                                percents[i],
                                                500))
                        .toList();
        mWorld.mOwner.progress(
                mWorld.mStarts.getFirst().mVm(), OwnerWorld.worker(vm, 1, 0, false).id(), rows);
        mWorld.pass(Duration.ofSeconds(1), "a", "b");
    }

    private void startTwo() {
        mWorld.join("a", 1_000);
        mWorld.submit("j", OwnerWorld.step(2, 500, StepTraits.BATCH));
        mWorld.store();
        mWorld.mStarts.forEach(mWorld::started);
        mWorld.join("b", 1_000);
    }

    /** Guards against jobs that wait for a hung worker, and against new tasks that follow them. */
    @Test
    void tasksThatStandStillStartElsewhere() {
        startTwo();
        IntStream.range(0, 5).forEach(i -> progress("a", 20, 30));
        assertThat(mWorld.mStops).isNotEmpty();
        mWorld.end(mWorld.mStarts.getFirst(), EndKind.STOPPED, "");
        assertThat(mWorld.last().mVm().value()).isEqualTo("b");
    }

    /** Guards against a VM that is condemned for one bad task. */
    @Test
    void oneStandingTaskBesideProgressIsLeftAlone() {
        startTwo();
        IntStream.range(0, 5).forEach(i -> progress("a", 20, 30 + 10 * i));
        assertThat(mWorld.mStops).isEmpty();
    }
}
