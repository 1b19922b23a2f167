package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.StepTraits;

/** Tests of the lines that tell operators why a long-running task does not run. */
class LongRunningWaitLoggerTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final OwnerFixture mFixture = new OwnerFixture();

    private OwnerFixture.LogLine lastLine() {
        return mFixture.logLines("task.waiting").getLast();
    }

    /** Guards against a wait for room that looks like the one for closed VMs. */
    @Test
    void vmsAreCountedByWhatKeepsTheTaskOffThem() {
        mFixture.addVm("full", 1_000);
        mFixture.submit("j", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.addVm("evacuated", 2_000);
        mFixture.mOwner.setEvacuatedDataCentres(Set.of(OwnerFixture.DATA_CENTRE));
        mFixture.submit("web", OwnerFixture.servingStep(1, 2_000, 0));
        mFixture.storeAndSchedule();
        mFixture.advanceTime(SECOND, "full", "evacuated");
        mFixture.advanceTime(SECOND, "full", "evacuated");
        assertThat(lastLine().mSubject().toString()).isEqualTo("web.0.0.0");
        assertThat(lastLine().mFields())
                .containsExactly(
                        "tasks",
                        1,
                        "waited_ms",
                        2_000L,
                        "cause",
                        "EVACUATED",
                        "vms",
                        Map.of("RESERVATION", 1, "EVACUATED", 1));
    }

    /** Guards against an alarm when there is no room for a task. */
    @Test
    void lackOfRoomIsItsOwnCause() {
        mFixture.addVm("small", 1_000);
        mFixture.submit("web", OwnerFixture.servingStep(2, 2_000, 0));
        mFixture.storeAndSchedule();
        mFixture.advanceTime(SECOND, "small");
        assertThat(mFixture.mCounts.get("long_running_wait_millis NO_ROOM")).isEqualTo(2_000);
    }

    /** Guards against a cost and a number of lines that grow with the number of waiting steps. */
    @Test
    void manyWaitingStepsAreSampled() {
        mFixture.addVm("small", 1_000);
        for (int i = 0; i < 25; i++) {
            mFixture.submit("web-" + i, OwnerFixture.servingStep(2, 2_000, 0));
        }
        mFixture.storeAndSchedule();
        mFixture.advanceTime(SECOND, "small");
        assertThat(mFixture.logLines("task.waiting")).hasSize(9);
        assertThat(mFixture.mCounts.get("long_running_wait_millis NO_ROOM")).isEqualTo(50_000);
    }

    /** Guards against lines for tasks that run. */
    @Test
    void runningTasksAreNotLogged() {
        mFixture.addVm("a", 2_000);
        mFixture.submit("web", OwnerFixture.servingStep(1, 2_000, 0));
        mFixture.storeAndSchedule();
        mFixture.advanceTime(SECOND, "a");
        assertThat(mFixture.logLines("task.waiting")).isEmpty();
    }
}
