package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.Resources;

/** Tests of the counters that tell operators why tasks wait. */
class WaitingTimeRecorderTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final String COUNTER = "task_wait_millis ";

    private final OwnerFixture mFixture = new OwnerFixture();
    private int mSubmitted;

    private void submitAndStore(StepSpec... steps) {
        mFixture.submit("j" + mSubmitted++, steps);
        mFixture.storeAndSchedule();
    }

    private static Map<String, Long> waits(OwnerFixture fixture) {
        return fixture.mCounts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(COUNTER))
                .collect(
                        Collectors.toMap(
                                entry -> entry.getKey().substring(COUNTER.length()),
                                Map.Entry::getValue));
    }

    /** Guards against a lack of unreserved resources that is shown as another cause. */
    @Test
    void tasksThatFitOnNoVmWaitForReservation() {
        mFixture.addVm("a", 4_000);
        submitAndStore(OwnerFixture.step(5, 2_000, StepTraits.BATCH));
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).containsExactly("0/RESERVATION", 3_000L);
    }

    /** Guards against fillers whose wait is attributed to reservations. */
    @Test
    void fillersWaitForSpareCpu() {
        mFixture.addVm("a", 4_000);
        submitAndStore(OwnerFixture.step(4, 2_000, FILLER));
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).containsExactly("0/SPARE_CPU", 2_000L);
    }

    /** Guards against interference that looks like a lack of processor time. */
    @Test
    void fillersWaitBesideBusyServingTask() {
        mFixture.addVm("a", 8_000);
        submitAndStore(OwnerFixture.servingStep(1, 6_000, -1));
        OwnerFixture.Order web = mFixture.lastStart();
        RunStatus run = new RunStatus(web.mTask(), web.mRunNumber(), "", 100, 32);
        mFixture.mOwner.handleProgress(
                web.mVm(),
                OwnerFixture.worker("a", 1, 0, false).id(),
                List.of(),
                List.of(run),
                mFixture.currentLists());
        submitAndStore(OwnerFixture.step(1, 800, FILLER));
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).containsExactly("0/DISTURBANCE", 1_000L);
    }

    /** Guards against a rule that can never be met and looks like a lack of capacity. */
    @Test
    void tasksWaitForRequiredLabel() {
        mFixture.addVm("a", 8_000);
        submitAndStore(
                new StepSpec(
                        2,
                        new Resources(100, 10, 0),
                        SECOND,
                        List.of(),
                        StepTraits.BATCH,
                        new PlacementRule("gpu", "", false, 0),
                        "",
                        Duration.ZERO,
                        -1));
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).containsExactly("0/RULE", 2_000L);
    }

    /** Guards against the pause after a failure being taken for a lack of capacity. */
    @Test
    void failedTaskWaitsForItsBackoff() {
        mFixture.addVm("a", 8_000);
        submitAndStore(OwnerFixture.step(1, 100, StepTraits.BATCH));
        mFixture.reportStarted(mFixture.lastStart());
        mFixture.advanceTime(Duration.ofMillis(950), "a");
        mFixture.reportEnd(mFixture.lastStart(), EndKind.FAILED, "");
        mFixture.advanceTime(Duration.ofMillis(50), "a");
        assertThat(waits(mFixture)).containsExactly("0/BACKOFF", 1_000L);
    }

    /**
     * Guards against times without a current view that are not counted at all, and against counting
     * a long pause in full.
     */
    @Test
    void tasksWaitForOwnerThatMayNotStart() {
        mFixture.submit("j", OwnerFixture.step(3, 100, StepTraits.BATCH));
        mFixture.mClock.advance(Duration.ofSeconds(20));
        mFixture.mOwner.schedule();
        assertThat(waits(mFixture)).containsExactly("0/OWNER", 6_000L);
    }

    /** Guards against a takeover whose wait for VMs looks like a lack of capacity. */
    @Test
    void loadedTasksWaitForTheNewOwner() throws IOException {
        mFixture.addVm("a", 100);
        submitAndStore(OwnerFixture.step(2, 100, StepTraits.BATCH));
        OwnerFixture successor = mFixture.createSuccessor();
        successor.advanceTime(SECOND);
        assertThat(waits(successor)).containsExactly("0/OWNER", 2_000L);
    }

    /** Guards against a sample in each round, and against a wrong priority. */
    @Test
    void waitsAreSampledOncePerSecondByPriority() {
        mFixture.mOwner.configure(
                List.of(new JobQueue(OwnerFixture.QUEUE, "svc", 2, 2, 2, SECOND, SECOND)));
        mFixture.addVm("a", 1_000);
        submitAndStore(OwnerFixture.step(1, 2_000, StepTraits.BATCH));
        for (int i = 0; i < 25; i++) {
            mFixture.advanceTime(Duration.ofMillis(100), "a");
        }
        assertThat(waits(mFixture)).containsExactly("2/RESERVATION", 2_000L);
    }

    /** Guards against waiting tasks that are not counted because only some steps are examined. */
    @Test
    void allWaitingTasksCountBeyondTheExaminedSteps() {
        mFixture.addVm("a", 1_000);
        for (int i = 0; i < 333; i++) {
            mFixture.submit("j" + i, OwnerFixture.step(2, 2_000, StepTraits.BATCH));
        }
        for (int i = 0; i < 4; i++) {
            mFixture.storeAndSchedule();
        }
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).containsExactly("0/RESERVATION", 666_000L);
    }

    /** Guards against tasks that count as waiting before the steps that they depend on are done. */
    @Test
    void tasksOfLaterStepsAndRunningTasksDoNotWait() {
        mFixture.addVm("a", 1_000);
        submitAndStore(
                OwnerFixture.step(1, 1_000, StepTraits.BATCH),
                OwnerFixture.step(1, 1_000, StepTraits.BATCH, 0));
        mFixture.advanceTime(SECOND, "a");
        assertThat(waits(mFixture)).isEmpty();
    }

    /** Guards against run times that are far off without an operator seeing it. */
    @Test
    void errorsOfExpectedRunTimesAreCounted() {
        mFixture.addVm("a", 1_000);
        submitAndStore(OwnerFixture.step(2, 1_000, StepTraits.BATCH));
        mFixture.reportStarted(mFixture.lastStart());
        mFixture.advanceTime(Duration.ofMillis(3_000), "a");
        mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        assertThat(mFixture.mCounts).containsEntry("run_time_error_millis late", 2_000L);
        mFixture.reportStarted(mFixture.lastStart());
        mFixture.advanceTime(Duration.ofMillis(500), "a");
        mFixture.reportEnd(mFixture.lastStart(), EndKind.DONE, "");
        assertThat(mFixture.mCounts).containsEntry("run_time_error_millis early", 2_500L);
    }

    /** Guards against a use of the VMs that does not show reserved but unused processor time. */
    @Test
    void useOfVmsIsLoggedAndExposed() {
        mFixture.addVm("a", 8_000);
        submitAndStore(OwnerFixture.servingStep(1, 6_000, -1));
        mFixture.advanceTime(SECOND, "a");
        assertThat(mFixture.logLines("vms.use").getLast().mFields())
                .isEqualTo(
                        Map.of(
                                "vms",
                                1,
                                "capacity",
                                8_000L,
                                "reserved",
                                6_000L,
                                "used",
                                4_200L,
                                "idle",
                                3_800L));
        assertThat(mFixture.mCounts).containsEntry("vm_milli_cpu reserved", 6_000L);
        mFixture.advanceTime(Duration.ofMillis(900), "a");
        assertThat(mFixture.logLines("vms.use")).hasSize(1);
    }
}
