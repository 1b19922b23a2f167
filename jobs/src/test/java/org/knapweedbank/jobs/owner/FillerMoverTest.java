package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/** Tests of moving fillers that get too little processor time on their VM. */
class FillerMoverTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final StepTraits FILLER_WITHOUT_CHECKPOINTS =
            new StepTraits(false, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    /**
     * Reports the processor use of a run a number of times, one second apart.
     *
     * @param order start order of the run
     * @param milliCpu reported processor use in thousandths of a core
     * @param times number of reports
     */
    private void report(OwnerFixture.Order order, long milliCpu, int times) {
        for (int i = 0; i < times; i++) {
            RunStatus run = new RunStatus(order.mTask(), order.mRunNumber(), "saved", 20, milliCpu);
            mFixture.mOwner.handleProgress(
                    order.mVm(),
                    OwnerFixture.worker(order.mVm().value(), 1, 0, false).id(),
                    List.of(),
                    List.of(run),
                    mFixture.currentLists());
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

    /** Guards against a job that waits for one throttled task while another VM is idle. */
    @Test
    void starvedFillerResumesOnVmWithRoom() {
        OwnerFixture.Order order = startFiller(FILLER);
        mFixture.addVm("b", 4_000);
        report(order, 300, 2);
        assertThat(mFixture.mStops).hasSize(1);
        assertThat(mFixture.mStarts).hasSize(1);
        mFixture.reportEnd(order, EndKind.STOPPED, "saved");
        assertThat(mFixture.mStarts).hasSize(2);
        assertThat(mFixture.lastStart().mVm().value()).isEqualTo("b");
        assertThat(mFixture.lastStart().mCheckpoint()).isEqualTo("saved");
    }

    /** Guards against a move when no other VM has enough room. */
    @Test
    void starvedFillerStaysWithoutVmWithRoom() {
        OwnerFixture.Order order = startFiller(FILLER);
        mFixture.addVm("b", 1_000);
        report(order, 300, 4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against the loss of work that is not in a checkpoint. */
    @Test
    void fillerWithoutCheckpointsIsNotMoved() {
        OwnerFixture.Order order = startFiller(FILLER_WITHOUT_CHECKPOINTS);
        mFixture.addVm("b", 4_000);
        report(order, 300, 4);
        assertThat(mFixture.mStops).isEmpty();
    }

    /** Guards against a move after a single low report, since reports are imprecise. */
    @Test
    void fillerStaysAfterSingleLowReport() {
        OwnerFixture.Order order = startFiller(FILLER);
        mFixture.addVm("b", 4_000);
        report(order, 300, 1);
        report(order, 2_900, 1);
        report(order, 300, 1);
        assertThat(mFixture.mStops).isEmpty();
    }
}
