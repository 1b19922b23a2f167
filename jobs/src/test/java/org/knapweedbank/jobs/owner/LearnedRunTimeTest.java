package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/**
 * Tests of job objectives when callers declare a run time of one second per task, but earlier tasks
 * took a different time.
 */
class LearnedRunTimeTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final int EARLIER_JOBS = 20;
    private static final int RUN_SECONDS = 4;
    private static final long USED_MILLI_CPU = 1_000;

    private final OwnerFixture mFixture = new OwnerFixture();

    private void reportProgress(OwnerFixture.Order order, int percent) {
        reportProgress(order, percent, USED_MILLI_CPU);
    }

    private void reportProgress(OwnerFixture.Order order, int percent, long milliCpu) {
        RunStatus run = new RunStatus(order.mTask(), order.mRunNumber(), "", percent, milliCpu);
        mFixture.mOwner.handleProgress(
                order.mVm(),
                OwnerFixture.worker("a", 1, 0, false).id(),
                List.of(),
                List.of(run),
                mFixture.currentLists());
    }

    /**
     * Runs several jobs with one task each, which gets one core for four seconds.
     *
     * @param requestedMilliCpu requested processor time of each task in thousandths of a core
     * @return objective of the last job in milliseconds
     */
    private long objectiveAfterEarlierJobs(long requestedMilliCpu) {
        mFixture.addVm("a", 100_000);
        for (int i = 0; i < EARLIER_JOBS; i++) {
            mFixture.submit("j" + i, OwnerFixture.step(1, requestedMilliCpu, FILLER));
            mFixture.storeAndSchedule();
            mFixture.reportStarted(mFixture.lastStart());
            for (int second = 0; second < RUN_SECONDS; second++) {
                mFixture.advanceTime(Duration.ofSeconds(1), "a");
                reportProgress(mFixture.lastStart(), 20 * second);
            }
            mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        }
        return (long) mFixture.logLines("job.created").getLast().mFields().get("objective_ms");
    }

    /** Guards against objectives that follow declared run times even if these are far off. */
    @Test
    void objectiveFollowsTheRunTimesOfEarlierJobs() {
        assertThat(objectiveAfterEarlierJobs(USED_MILLI_CPU)).isAtLeast(7_500);
    }

    /** Guards against mistaking a throttled task for a long one. */
    @Test
    void runTimeIsScaledToFullSpeed() {
        assertThat(objectiveAfterEarlierJobs(RUN_SECONDS * USED_MILLI_CPU))
                .isIn(Range.closed(2_800L, 3_200L));
    }

    /**
     * Guards against counting a short run as if it had got no processor time, because the worker
     * had no measurement of it yet.
     */
    @Test
    void runWithoutCpuReportCountsInFull() {
        mFixture.addVm("a", 100_000);
        for (int i = 0; i < EARLIER_JOBS; i++) {
            mFixture.submit("j" + i, OwnerFixture.step(1, USED_MILLI_CPU, FILLER));
            mFixture.storeAndSchedule();
            mFixture.reportStarted(mFixture.lastStart());
            mFixture.advanceTime(Duration.ofMillis(300), "a");
            reportProgress(mFixture.lastStart(), 0, 0);
            mFixture.advanceTime(Duration.ofMillis(100), "a");
            mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        }
        long objective =
                (long) mFixture.logLines("job.created").getLast().mFields().get("objective_ms");
        assertThat(objective).isIn(Range.closed(1_800L, 2_000L));
    }
}
