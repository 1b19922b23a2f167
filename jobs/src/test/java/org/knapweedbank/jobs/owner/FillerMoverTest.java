package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** Fillers that get no processor time where they run. */
class FillerMoverTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final StepTraits UNSAVED = new StepTraits(false, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    /** Reports that a run gets a part of its processor time, as often as given. */
    private void report(OwnerFixture.Order order, long figure, int times) {
        for (int i = 0; i < times; i++) {
            RunningTask row =
                    new RunningTask(order.mTask(), order.mRunNumber(), "saved", 20, figure);
            mFixture.mOwner.progress(
                    order.mVm(),
                    OwnerFixture.worker(order.mVm().value(), 1, 0, false).id(),
                    List.of(row));
            mFixture.advanceTime(Duration.ofSeconds(1), "a", "b");
        }
    }

    private OwnerFixture.Order startFiller(StepTraits traits) {
        mFixture.addVm("a", 4_000);
        mFixture.submit("j", OwnerFixture.step(1, 3_000, traits));
        mFixture.storeAndSchedule();
        mFixture.reportStarted(mFixture.lastStart());
        return mFixture.lastStart();
    }

    /** Guards against a job that waits for one paced task while another VM stands idle. */
    @Test
    void starvedFillerResumesOnTheVmThatHasRoom() {
        OwnerFixture.Order first = startFiller(FILLER);
        mFixture.addVm("b", 4_000);
        report(first, 300, 2);
        assertThat(mFixture.mStops).hasSize(1);
        assertThat(mFixture.mStarts).hasSize(1);
        mFixture.reportEnd(first, EndKind.STOPPED, "saved");
        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.lastStart().mVm().value()).isEqualTo("b");
        assertThat(mFixture.lastStart().mCheckpoint()).isEqualTo("saved");
    }

    /** Guards against moves that gain nothing. */
    @Test
    void starvedFillerStaysWhileNoVmHasRoom() {
        OwnerFixture.Order first = startFiller(FILLER);
        mFixture.addVm("b", 1_000);
        report(first, 300, 4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against work that is thrown away because it was not saved. */
    @Test
    void fillerThatSavesNothingIsNotMoved() {
        OwnerFixture.Order first = startFiller(UNSAVED);
        mFixture.addVm("b", 4_000);
        report(first, 300, 4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against moves for one low figure, as figures are rough. */
    @Test
    void fillerWithASingleLowFigureStays() {
        OwnerFixture.Order first = startFiller(FILLER);
        mFixture.addVm("b", 4_000);
        report(first, 300, 1);
        report(first, 2_900, 1);
        report(first, 300, 1);
        assertThat(mFixture.mStops).isEmpty();
    }
}
