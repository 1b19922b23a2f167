package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/**
 * Tests of less urgent long-running tasks on a VM of 8 cores that keeps room for urgent jobs. Runs
 * of 5 cores follow one another on it, and urgent jobs of 8 cores arrive again and again. So 3
 * cores are free at all times, and room is always kept for one of the large jobs.
 */
class HeldLongRunningTaskTest {
    private static final long TICK_MILLIS = 20;
    private static final long RUN_MILLIS = 1_000;

    /** Time for which a long-running task is observed; several times the longest hold. */
    private static final long OBSERVED_MILLIS = 30_000;

    /** Longest time for which holds may delay a long-running task, with one round of placement. */
    private static final long MAX_WAIT_MILLIS = 1_000 + TICK_MILLIS;

    private static final StepSpec SERVING = OwnerFixture.servingStep(1, 2_000, -1);

    private OwnerFixture mFixture = new OwnerFixture(MixedLoad.scheduling(true));
    private long mNextEndAt;
    private int mJobs;

    HeldLongRunningTaskTest() {
        mFixture.mOwner.configure(MixedLoad.queues());
        mFixture.addVm("a", 8_000);
        mFixture.submit("usual", OwnerFixture.step(1, 5_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mNextEndAt = now() + RUN_MILLIS;
    }

    private static List<StepSpec> longRunningSteps() {
        return List.of(
                SERVING,
                OwnerFixture.step(3, 1_000, new StepTraits(false, false, false, true, false)));
    }

    private long now() {
        return mFixture.mClock.monotonicMillis();
    }

    /** Advances the time, with a new large job and a new run of 5 cores once a second. */
    private void tick() {
        mFixture.advanceTime(Duration.ofMillis(TICK_MILLIS), "a", "b");
        if (now() < mNextEndAt) {
            return;
        }
        mNextEndAt = now() + RUN_MILLIS;
        OwnerFixture.Order running = lastStartOf("usual");
        mJobs++;
        mFixture.submit("usual" + mJobs, OwnerFixture.step(1, 5_000, StepTraits.BATCH));
        mFixture.submit("large" + mJobs, OwnerFixture.step(1, 8_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.reportEnd(running, EndKind.DONE, "");
        mFixture.storeAndSchedule();
    }

    private void tickFor(long millis) {
        long end = now() + millis;
        while (now() < end) {
            tick();
        }
    }

    private List<OwnerFixture.Order> startsOf(String prefix) {
        return mFixture.mStarts.stream()
                .filter(order -> order.mTask().job().value().startsWith(prefix))
                .toList();
    }

    private OwnerFixture.Order lastStartOf(String prefix) {
        return startsOf(prefix).getLast();
    }

    /** Returns how long it takes until the task has been started a number of times. */
    private long waitForStarts(String job, int starts) {
        long since = now();
        while (startsOf(job).size() < starts && now() - since < OBSERVED_MILLIS) {
            tick();
        }
        return now() - since;
    }

    /** Lets the only task of a job start on a small VM that is drained later. */
    private void startElsewhere(StepSpec step) {
        mFixture.addVm("b", 2_000);
        tickFor(3 * RUN_MILLIS);
        mFixture.submit("service", MixedLoad.SMALL, step);
        mFixture.storeAndSchedule();
        assertThat(lastStartOf("service").mVm().value()).isEqualTo("b");
        mFixture.reportStarted(lastStartOf("service"));
    }

    /** Ends the run on the small VM, which gets no start orders any more. */
    private void endElsewhere() {
        mFixture.mOwner.handleWorkerUpdate(
                new DaemonId("b"), OwnerFixture.worker("b", 1, 2_000, true));
        mFixture.reportEnd(lastStartOf("service"), EndKind.LAPSED, "");
    }

    /**
     * Guards against a long-running task that a chain of holds keeps from free room for good, and
     * against one that starts a round later than the others of its step.
     */
    @ParameterizedTest
    @MethodSource("longRunningSteps")
    void chainOfHoldsDoesNotKeepOutLongRunningTask(StepSpec step) {
        tickFor(3 * RUN_MILLIS + 5 * TICK_MILLIS);
        mFixture.submit("service", MixedLoad.SMALL, step);
        mFixture.storeAndSchedule();
        assertThat(waitForStarts("service", 1)).isAtMost(MAX_WAIT_MILLIS);
        assertThat(startsOf("service")).hasSize(step.count());
    }

    /** Guards against holds that have no effect on long-running tasks, and on restarted ones. */
    @Test
    void waitIsCountedFromTheEndOfTheLastRun() {
        startElsewhere(SERVING);
        tickFor(2 * RUN_MILLIS);
        endElsewhere();
        assertThat(waitForStarts("service", 2))
                .isIn(Range.closed(MAX_WAIT_MILLIS - 2 * TICK_MILLIS, MAX_WAIT_MILLIS));
    }

    /**
     * Guards against a wait that begins again with each start order that is not carried out. The
     * delay shifts the order against the plans, which would drop the hold.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, TICK_MILLIS, 2 * TICK_MILLIS})
    void orderThatStartsNothingDoesNotEndTheWait(long delay) {
        startElsewhere(SERVING);
        tickFor(delay);
        endElsewhere();
        waitForStarts("service", 2);
        OwnerFixture.Order order = lastStartOf("service");
        mFixture.mOwner.handleStartOutcome(
                order.mVm(), order.mTask(), order.mRunNumber(), StartOutcome.NOT_STARTED);
        assertThat(waitForStarts("service", 3)).isAtMost(TICK_MILLIS);
    }

    /** Guards against a task of a step that is kept waiting since an earlier one waits shortly. */
    @Test
    void taskThatHasWaitedLongestStartsFirst() {
        startElsewhere(OwnerFixture.servingStep(2, 2_000, -1));
        tickFor(600);
        endElsewhere();
        assertThat(waitForStarts("service", 2)).isAtMost(MAX_WAIT_MILLIS - 600);
        assertThat(lastStartOf("service").mTask().index()).isEqualTo(1);
    }

    /** Guards against a new owner that lets a task of an earlier owner wait from the start. */
    @Test
    void newOwnerCountsTheWaitUnderEarlierOwners() throws IOException {
        mFixture.submit("other", OwnerFixture.step(1, 2_000, StepTraits.BATCH));
        mFixture.submit("large", OwnerFixture.step(1, 8_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.submit("service", MixedLoad.SMALL, SERVING);
        mFixture.storeAndSchedule();
        OwnerFixture.Order other = lastStartOf("other");
        List<RunStatus> runs =
                mFixture.mStarts.stream()
                        .map(o -> new RunStatus(o.mTask(), o.mRunNumber(), "", 50, 0))
                        .toList();
        mFixture = mFixture.createSuccessor();
        mFixture.mOwner.configure(MixedLoad.queues());
        mFixture.report("a", OwnerFixture.worker("a", 1, 8_000, false), runs, List.of(), false);
        mFixture.storeAndSchedule();
        assertThat(mFixture.logLines("reservation.made")).hasSize(1);
        assertThat(startsOf("service")).isEmpty();
        mFixture.reportEnd(other, EndKind.DONE, "");
        assertThat(startsOf("service")).hasSize(1);
    }
}
