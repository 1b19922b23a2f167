package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/** Tests of workers that respond while their tasks make no progress. */
class HangDetectorTest {
    private final OwnerFixture mFixture = new OwnerFixture();

    /**
     * Reports the progress of the first runs, in the order of their start, and advances the clock
     * by a second.
     */
    private void reportProgress(String vm, int... percents) {
        List<RunStatus> runs =
                IntStream.range(0, percents.length)
                        .mapToObj(
                                i ->
                                        new RunStatus(
                                                mFixture.mStarts.get(i).mTask(),
                                                mFixture.mStarts.get(i).mRunNumber(),
                                                "",
                                                percents[i],
                                                500))
                        .toList();
        mFixture.mOwner.handleProgress(
                mFixture.mStarts.getFirst().mVm(),
                OwnerFixture.worker(vm, 1, 0, false).id(),
                List.of(),
                runs,
                mFixture.currentLists());
        mFixture.advanceTime(Duration.ofSeconds(1), "a", "b");
    }

    /** Starts two tasks on the VM "a" and adds an idle VM "b". */
    private void startTwoTasks() {
        mFixture.addVm("a", 1_000);
        mFixture.submit("j", OwnerFixture.step(2, 500, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.mStarts.forEach(mFixture::reportStarted);
        mFixture.addVm("b", 1_000);
    }

    /**
     * Guards against jobs that wait until a hung worker recovers, and against new tasks that are
     * placed on its VM.
     */
    @Test
    void stalledTasksRestartOnAnotherVm() {
        startTwoTasks();
        IntStream.range(0, 5).forEach(i -> reportProgress("a", 20, 30));
        assertThat(mFixture.mStops).isNotEmpty();
        mFixture.reportEnd(mFixture.mStarts.getFirst(), EndKind.STOPPED, "");
        assertThat(mFixture.lastStart().mVm().value()).isEqualTo("b");
    }

    /** Guards against the suspension of a VM because of one faulty task. */
    @Test
    void stalledTaskStaysWhileAnotherMakesProgress() {
        startTwoTasks();
        IntStream.range(0, 5).forEach(i -> reportProgress("a", 20, 30 + 10 * i));
        assertThat(mFixture.mStops).isEmpty();
    }
}
