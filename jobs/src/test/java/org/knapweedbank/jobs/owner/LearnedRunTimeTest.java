package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** Objectives of jobs that declare one second for each task, when tasks took four before. */
class LearnedRunTimeTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final int EARLIER_JOBS = 20;
    private static final int SECONDS = 4;
    private static final long USED_CPU = 1_000;

    private final OwnerFixture mFixture = new OwnerFixture();

    private void progress(OwnerFixture.Order order, int percent) {
        progress(order, percent, USED_CPU);
    }

    private void progress(OwnerFixture.Order order, int percent, long figure) {
        RunningTask row = new RunningTask(order.mTask(), order.mRunNumber(), "", percent, figure);
        mFixture.mOwner.progress(
                order.mVm(), OwnerFixture.worker("a", 1, 0, false).id(), List.of(row));
    }

    /** Objective of the last of some jobs, each of whose tasks gets one core for four seconds. */
    private long objectiveAfterEarlierJobs(long demand) {
        mFixture.addVm("a", 100_000);
        for (int i = 0; i < EARLIER_JOBS; i++) {
            mFixture.submit("j" + i, OwnerFixture.step(1, demand, FILLER));
            mFixture.storeAndSchedule();
            mFixture.reportStarted(mFixture.lastStart());
            for (int second = 0; second < SECONDS; second++) {
                mFixture.advanceTime(Duration.ofSeconds(1), "a");
                progress(mFixture.lastStart(), 20 * second);
            }
            mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        }
        return (long) mFixture.logLines("job.created").getLast().mFields().get("objective_ms");
    }

    /** Guards against objectives that rest on declared run times when these are far off. */
    @Test
    void objectiveFollowsTheRunTimesOfEarlierJobs() {
        assertThat(objectiveAfterEarlierJobs(USED_CPU)).isAtLeast(7_500);
    }

    /** Guards against a paced task that is taken for a long one. */
    @Test
    void runTimeIsThatAtFullPace() {
        assertThat(objectiveAfterEarlierJobs(SECONDS * USED_CPU))
                .isIn(Range.closed(2_800L, 3_200L));
    }

    /** Guards against a short run that seems to have got nothing, as it has no figure yet. */
    @Test
    void runWithoutAFigureCountsWithItsWholeTime() {
        mFixture.addVm("a", 100_000);
        for (int i = 0; i < EARLIER_JOBS; i++) {
            mFixture.submit("j" + i, OwnerFixture.step(1, USED_CPU, FILLER));
            mFixture.storeAndSchedule();
            mFixture.reportStarted(mFixture.lastStart());
            mFixture.advanceTime(Duration.ofMillis(300), "a");
            progress(mFixture.lastStart(), 0, 0);
            mFixture.advanceTime(Duration.ofMillis(100), "a");
            mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        }
        long objective =
                (long) mFixture.logLines("job.created").getLast().mFields().get("objective_ms");
        assertThat(objective).isIn(Range.closed(1_800L, 2_000L));
    }
}
