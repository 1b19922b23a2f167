package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** Log lines that tell why batch work is late. */
class BatchProgressLoggerTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    private OwnerFixture.Order startTwoOfFour() {
        mFixture.addVm("a", 4_000);
        mFixture.submit("j", OwnerFixture.step(4, 2_000, FILLER));
        mFixture.storeAndSchedule();
        OwnerFixture.Order first = mFixture.mStarts.getFirst();
        mFixture.reportStarted(first);
        mFixture.advanceTime(Duration.ofSeconds(1), "a");
        RunningTask row = new RunningTask(first.mTask(), first.mRunNumber(), "", 40, 500);
        mFixture.mOwner.progress(
                first.mVm(), OwnerFixture.worker("a", 1, 0, false).id(), List.of(row));
        mFixture.advanceTime(Duration.ofSeconds(1), "a");
        return first;
    }

    /** Guards against logs that can't tell too little room from a bad order of jobs. */
    @Test
    void surveyTellsWhatFillersAskForAndGetAndWhatHoldsOthersBack() {
        startTwoOfFour();
        Map<Object, Object> fields = mFixture.logLines("batch.progress").getLast().mFields();
        assertThat(fields).containsEntry("runs", 2);
        assertThat(fields).containsEntry("asked_cpu", 4_000L);
        assertThat(fields).containsEntry("used_cpu", 500L);
        assertThat(fields).containsEntry("used_core_ms", 500L);
        assertThat(fields).containsEntry("held_by", Map.of(PlacementLimit.SPARE_CPU, 1));
    }

    /** Guards against a survey that floods the log. */
    @Test
    void surveyIsLoggedOnceASecond() {
        startTwoOfFour();
        int before = mFixture.logLines("batch.progress").size();
        for (int i = 0; i < 10; i++) {
            mFixture.advanceTime(Duration.ofMillis(100), "a");
        }
        assertThat(mFixture.logLines("batch.progress")).hasSize(before + 1);
    }

    /** Guards against a fall in rank whose cost can't be seen afterwards. */
    @Test
    void fallInRankTellsWhatHasGoneIntoTheJob() {
        OwnerFixture.Order first = startTwoOfFour();
        mFixture.reportEnd(first, EndKind.DONE, "");
        mFixture.submit("k", OwnerFixture.step(1, 4_000, FILLER));
        mFixture.storeAndSchedule();
        mFixture.mLog.clear();
        mFixture.advanceTime(Duration.ofSeconds(4), "a");
        OwnerFixture.LogLine line =
                mFixture.logLines("job.rank").stream()
                        .filter(rank -> rank.mSubject().equals("j"))
                        .findFirst()
                        .orElseThrow();
        assertThat(line.mFields()).containsAtLeast("tasks", 4L, "done_tasks", 1L);
        assertThat(line.mFields()).containsEntry("used_core_ms", 500L);
    }
}
