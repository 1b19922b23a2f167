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

    private final OwnerWorld mWorld = new OwnerWorld();

    /** Reports that a run gets a part of its processor time, as often as given. */
    private void report(OwnerWorld.Order order, long figure, int times) {
        for (int i = 0; i < times; i++) {
            RunningTask row = new RunningTask(order.mTask(), order.mRun(), "saved", 20, figure);
            mWorld.mOwner.progress(
                    order.mVm(),
                    OwnerWorld.worker(order.mVm().value(), 1, 0, false).id(),
                    List.of(row));
            mWorld.pass(Duration.ofSeconds(1), "a", "b");
        }
    }

    private OwnerWorld.Order startFiller(StepTraits traits) {
        mWorld.join("a", 4_000);
        mWorld.submit("j", OwnerWorld.step(1, 3_000, traits));
        mWorld.store();
        mWorld.started(mWorld.last());
        return mWorld.last();
    }

    /** Guards against a job that waits for one paced task while another VM stands idle. */
    @Test
    void starvedFillerResumesOnTheVmThatHasRoom() {
        OwnerWorld.Order first = startFiller(FILLER);
        mWorld.join("b", 4_000);
        report(first, 300, 2);
        assertThat(mWorld.mStops).hasSize(1);
        assertThat(mWorld.mStarts).hasSize(1);
        mWorld.end(first, EndKind.STOPPED, "saved");
        assertThat(mWorld.mStarts).hasSize(2);
        assertThat(mWorld.last().mVm().value()).isEqualTo("b");
        assertThat(mWorld.last().mCheckpoint()).isEqualTo("saved");
    }

    /** Guards against moves that gain nothing. */
    @Test
    void starvedFillerStaysWhileNoVmHasRoom() {
        OwnerWorld.Order first = startFiller(FILLER);
        mWorld.join("b", 1_000);
        report(first, 300, 4);
        assertThat(mWorld.mStops).isEmpty();
    }

    /** Guards against work that is thrown away because it was not saved. */
    @Test
    void fillerThatSavesNothingIsNotMoved() {
        OwnerWorld.Order first = startFiller(UNSAVED);
        mWorld.join("b", 4_000);
        report(first, 300, 4);
        assertThat(mWorld.mStops).isEmpty();
    }

    /** Guards against moves for one low figure, as figures are rough. */
    @Test
    void fillerWithASingleLowFigureStays() {
        OwnerWorld.Order first = startFiller(FILLER);
        mWorld.join("b", 4_000);
        report(first, 300, 1);
        report(first, 2_900, 1);
        report(first, 300, 1);
        assertThat(mWorld.mStops).isEmpty();
    }
}
