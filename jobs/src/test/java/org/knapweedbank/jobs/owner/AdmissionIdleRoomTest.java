package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.Resources;

/** Tests the admission of jobs that start at once on room which no waiting task can use. */
class AdmissionIdleRoomTest {
    private static final String SPECIAL_LABEL = "special";

    /** Job that goes after the waiting ones, since it is large. */
    private static final StepSpec SMALL_TASKS = OwnerFixture.step(20, 1_000, StepTraits.BATCH);

    private static final StepSpec LARGE_TASK = OwnerFixture.step(1, 10_000, StepTraits.BATCH);

    private final OverloadSimulation mSimulation =
            new OverloadSimulation(OverloadSimulation.Policy.ADMISSION, 1);
    private final OwnerFixture mFixture = mSimulation.fixture();
    private int mSubmitted;

    /** Submits three times as many jobs as one VM can run, while four VMs of 8 cores are idle. */
    private void overload(String vm, StepSpec step) {
        for (int second = 0; second < 30; second++) {
            for (int i = 0; i < 3; i++) {
                mFixture.trySubmit(second + "-" + i, step);
            }
            mSimulation.advance(Duration.ofSeconds(1));
            mFixture.answerAgent(vm);
        }
        assertThat(mFixture.logLines("admission.refused")).isNotEmpty();
    }

    /** Has 16 cores, of which the waiting tasks of 10 leave 6 idle. */
    private void overloadLargeVm() {
        mFixture.addVm("large", 16_000);
        overload("large", LARGE_TASK);
    }

    private boolean isAdmitted(String id, StepSpec... steps) {
        return mFixture.trySubmit(id, steps) instanceof SubmitResult.Known;
    }

    private long countAdmitted(int jobs, StepSpec step) {
        return IntStream.range(0, jobs)
                .filter(i -> isAdmitted("job-" + mSubmitted++, step))
                .count();
    }

    private static StepSpec labelledStep(int count, long milliCpu) {
        return new StepSpec(
                count,
                new Resources(milliCpu, 100, 0),
                Duration.ofSeconds(1),
                List.of(),
                StepTraits.BATCH,
                new PlacementRule(SPECIAL_LABEL, "", false, 0),
                "",
                Duration.ZERO,
                -1);
    }

    /** Guards against the refusal of a job for idle VMs, because tasks wait for a rare label. */
    @Test
    void jobWithoutTheLabelOfWaitingTasksIsAdmitted() {
        WorkerInfo plain = OwnerFixture.worker("labelled", 1, 8_000, false);
        WorkerInfo labelled =
                new WorkerInfo(
                        plain.id(),
                        plain.service(),
                        plain.capacity(),
                        List.of(SPECIAL_LABEL),
                        plain.rack(),
                        false);
        mFixture.report("labelled", labelled, List.of(), List.of(), true);
        overload("labelled", labelledStep(1, 8_000));
        assertThat(isAdmitted("labelled", labelledStep(20, 1_000))).isFalse();
        assertThat(isAdmitted("plain", SMALL_TASKS)).isTrue();
    }

    /** Guards against jobs that are all admitted on room which the tasks of the first ones take. */
    @Test
    void jobsBetweenTwoRoundsAreAdmittedOnlyWhileRoomIsLeft() {
        overloadLargeVm();
        assertThat(countAdmitted(10, SMALL_TASKS)).isEqualTo(2);
    }

    /** Guards against room that is given away again while the record of a job is written. */
    @Test
    void jobThatIsNotStoredKeepsItsRoom() {
        overloadLargeVm();
        assertThat(countAdmitted(10, SMALL_TASKS)).isEqualTo(2);
        mFixture.mOwner.schedule();
        assertThat(isAdmitted("late", SMALL_TASKS)).isFalse();
    }

    /** Guards against the refusal of further jobs once there is room again. */
    @Test
    void jobsAreAdmittedAsRoomBecomesIdle() {
        overloadLargeVm();
        assertThat(isAdmitted("a", SMALL_TASKS)).isTrue();
        assertThat(isAdmitted("b", SMALL_TASKS)).isTrue();
        assertThat(isAdmitted("c", SMALL_TASKS)).isFalse();
        mSimulation.advance(Duration.ofMillis(2_500));
        assertThat(isAdmitted("d", SMALL_TASKS)).isTrue();
    }

    /** Guards against an overload for which no job is refused, since its first step can start. */
    @Test
    void jobWithALaterStepForTheOverloadedVmIsRefused() {
        overloadLargeVm();
        StepSpec later = OwnerFixture.step(1, 10_000, StepTraits.BATCH, 0);
        assertThat(isAdmitted("job", SMALL_TASKS, later)).isFalse();
    }

    /** Guards against jobs that are admitted on room which waiting tasks take in the next round. */
    @Test
    void roomThatBecomesIdleBetweenTwoRoundsAdmitsNothing() {
        mSimulation.addCallers(4, 1, Duration.ofSeconds(80));
        mSimulation.advance(Duration.ofSeconds(25));
        assertThat(countAdmitted(10, SMALL_TASKS)).isEqualTo(0);
        mSimulation.endAllBetweenRounds();
        assertThat(countAdmitted(10, SMALL_TASKS)).isEqualTo(0);
    }

    /**
     * Guards against jobs for the overloaded VM that are admitted and end after their late limit,
     * as jobs that were admitted on the idle VMs raise the rate.
     */
    @Test
    void jobsOnIdleRoomDoNotRaiseTheRate() {
        mFixture.addVm("large", 16_000);
        StepSpec small = OwnerFixture.step(12, 1_000, StepTraits.BATCH);
        int admitted = 0;
        for (int second = 0; second < 30; second++) {
            for (int i = 0; i < 3; i++) {
                mFixture.trySubmit(second + "-" + i, LARGE_TASK);
            }
            admitted += isAdmitted("small-" + second, small) ? 1 : 0;
            mSimulation.advance(Duration.ofSeconds(1));
            mFixture.answerAgent("large");
        }
        assertThat(admitted).isEqualTo(30);
        long milliCpu =
                (long)
                        mFixture.logLines("admission.refused")
                                .getLast()
                                .mFields()
                                .get("rate_milli_cpu");
        assertThat(milliCpu).isAtMost(16_000);
    }
}
