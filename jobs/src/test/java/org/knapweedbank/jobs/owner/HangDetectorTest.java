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
    private final OwnerFixture mFixture = new OwnerFixture();

    private void progress(String vm, int... percents) {
        List<RunningTask> rows =
                IntStream.range(0, percents.length)
                        .mapToObj(
                                i ->
                                        new RunningTask(
                                                mFixture.mStarts.get(i).mTask(),
                                                mFixture.mStarts.get(i).mRunNumber(),
                                                "",
                                                percents[i],
                                                500))
                        .toList();
        mFixture.mOwner.progress(
                mFixture.mStarts.getFirst().mVm(), OwnerFixture.worker(vm, 1, 0, false).id(), rows);
        mFixture.advanceTime(Duration.ofSeconds(1), "a", "b");
    }

    private void startTwo() {
        mFixture.addVm("a", 1_000);
        mFixture.submit("j", OwnerFixture.step(2, 500, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.mStarts.forEach(mFixture::reportStarted);
        mFixture.addVm("b", 1_000);
    }

    /** Guards against jobs that wait for a hung worker, and against new tasks that follow them. */
    @Test
    void tasksThatStandStillStartElsewhere() {
        startTwo();
        IntStream.range(0, 5).forEach(i -> progress("a", 20, 30));
        assertThat(mFixture.mStops).isNotEmpty();
        mFixture.reportEnd(mFixture.mStarts.getFirst(), EndKind.STOPPED, "");
        assertThat(mFixture.lastStart().mVm().value()).isEqualTo("b");
    }

    /** Guards against a VM that is condemned for one bad task. */
    @Test
    void oneStandingTaskBesideProgressIsLeftAlone() {
        startTwo();
        IntStream.range(0, 5).forEach(i -> progress("a", 20, 30 + 10 * i));
        assertThat(mFixture.mStops).isEmpty();
    }
}
