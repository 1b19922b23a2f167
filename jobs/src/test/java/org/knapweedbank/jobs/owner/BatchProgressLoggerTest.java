package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/** Tests of the log lines that explain why batch work is late. */
class BatchProgressLoggerTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    /**
     * Submits four fillers of which two fit, and reports 40 percent progress at half a core for the
     * first.
     */
    private OwnerFixture.Order startFillersAndReport() {
        mFixture.addVm("a", 4_000);
        mFixture.submit("j", OwnerFixture.step(4, 2_000, FILLER));
        mFixture.storeAndSchedule();
        OwnerFixture.Order first = mFixture.mStarts.getFirst();
        mFixture.reportStarted(first);
        mFixture.advanceTime(Duration.ofSeconds(1), "a");
        RunStatus run = new RunStatus(first.mTask(), first.mRunNumber(), "", 40, 500);
        mFixture.mOwner.handleProgress(
                first.mVm(),
                OwnerFixture.worker("a", 1, 0, false).id(),
                List.of(),
                List.of(run),
                mFixture.currentLists());
        mFixture.advanceTime(Duration.ofSeconds(1), "a");
        return first;
    }

    /** Guards against logs that do not distinguish a lack of capacity from a bad order of jobs. */
    @Test
    void logsRequestedAndUsedCpuAndPlacementLimits() {
        startFillersAndReport();
        Map<Object, Object> fields = mFixture.logLines("batch.progress").getLast().mFields();
        assertThat(fields).containsEntry("runs", 2);
        assertThat(fields).containsEntry("asked_cpu", 4_000L);
        assertThat(fields).containsEntry("used_cpu", 500L);
        assertThat(fields).containsEntry("used_core_ms", 500L);
        assertThat(fields).containsEntry("held_by", Map.of(PlacementLimit.SPARE_CPU, 1));
    }

    /** Guards against a progress line in each round of placement, which would flood the log. */
    @Test
    void logsOncePerSecond() {
        startFillersAndReport();
        int linesBefore = mFixture.logLines("batch.progress").size();
        for (int i = 0; i < 10; i++) {
            mFixture.advanceTime(Duration.ofMillis(100), "a");
        }
        assertThat(mFixture.logLines("batch.progress")).hasSize(linesBefore + 1);
    }

    /**
     * Guards against a job that loses rank without a record of the work that it had already used.
     */
    @Test
    void rankChangeIsLoggedWithTheWorkDone() {
        OwnerFixture.Order first = startFillersAndReport();
        mFixture.reportEnd(first, EndKind.DONE, "");
        mFixture.submit("k", OwnerFixture.step(1, 4_000, FILLER));
        mFixture.storeAndSchedule();
        mFixture.mLog.clear();
        mFixture.advanceTime(Duration.ofSeconds(4), "a");
        OwnerFixture.LogLine line =
                mFixture.logLines("job.rank").stream()
                        .filter(logLine -> logLine.mSubject().equals("j"))
                        .findFirst()
                        .orElseThrow();
        assertThat(line.mFields()).containsAtLeast("tasks", 4L, "done_tasks", 1L);
        assertThat(line.mFields()).containsEntry("used_core_ms", 500L);
    }
}
