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
class BatchSurveyTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerWorld mWorld = new OwnerWorld();

    private OwnerWorld.Order startTwoOfFour() {
        mWorld.join("a", 4_000);
        mWorld.submit("j", OwnerWorld.step(4, 2_000, FILLER));
        mWorld.store();
        OwnerWorld.Order first = mWorld.mStarts.getFirst();
        mWorld.started(first);
        mWorld.pass(Duration.ofSeconds(1), "a");
        RunningTask row = new RunningTask(first.mTask(), first.mRun(), "", 40, 500);
        mWorld.mOwner.progress(first.mVm(), OwnerWorld.worker("a", 1, 0, false).id(), List.of(row));
        mWorld.pass(Duration.ofSeconds(1), "a");
        return first;
    }

    /** Guards against logs that can't tell too little room from a bad order of jobs. */
    @Test
    void surveyTellsWhatFillersAskForAndGetAndWhatHoldsOthersBack() {
        startTwoOfFour();
        Map<Object, Object> fields = mWorld.logged("batch.progress").getLast().mFields();
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
        int before = mWorld.logged("batch.progress").size();
        for (int i = 0; i < 10; i++) {
            mWorld.pass(Duration.ofMillis(100), "a");
        }
        assertThat(mWorld.logged("batch.progress")).hasSize(before + 1);
    }

    /** Guards against a fall in rank whose cost can't be seen afterwards. */
    @Test
    void fallInRankTellsWhatHasGoneIntoTheJob() {
        OwnerWorld.Order first = startTwoOfFour();
        mWorld.end(first, EndKind.DONE, "");
        mWorld.submit("k", OwnerWorld.step(1, 4_000, FILLER));
        mWorld.store();
        mWorld.mLog.clear();
        mWorld.pass(Duration.ofSeconds(4), "a");
        OwnerWorld.Line line =
                mWorld.logged("job.rank").stream()
                        .filter(rank -> rank.mSubject().equals("j"))
                        .findFirst()
                        .orElseThrow();
        assertThat(line.mFields()).containsAtLeast("tasks", 4L, "done_tasks", 1L);
        assertThat(line.mFields()).containsEntry("used_core_ms", 500L);
    }
}
