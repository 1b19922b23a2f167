package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepTraits;

/** Tests of the filler ranks that agents receive, by which processor time is shared on a VM. */
class FillerRankTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    private void progress(OwnerFixture.Order order, int percent) {
        RunStatus run = new RunStatus(order.mTask(), order.mRunNumber(), "", percent, 1_000);
        mFixture.mOwner.handleProgress(
                order.mVm(),
                OwnerFixture.worker("a", 1, 0, false).id(),
                List.of(),
                List.of(run),
                mFixture.currentLists());
    }

    /** Guards against a task that is nearly complete but throttled as if it had just started. */
    @Test
    void rankRisesAsRemainingWorkShrinks() {
        mFixture.addVm("a", 4_000);
        mFixture.submit("j", OwnerFixture.step(1, 1_000, FILLER));
        mFixture.storeAndSchedule();
        OwnerFixture.Order order = mFixture.lastStart();
        mFixture.reportStarted(order);
        RunProfile first = mFixture.mProfiles.getLast();
        progress(order, 50);
        RunProfile second = mFixture.mProfiles.getLast();
        assertThat(second.rank()).isGreaterThan(first.rank() * 1.5);
        int profilesSent = mFixture.mProfiles.size();
        progress(order, 51);
        assertThat(mFixture.mProfiles).hasSize(profilesSent);
    }

    /** Guards against ranks that ignore the value density of the jobs. */
    @Test
    void smallerJobHasHigherRank() {
        mFixture.addVm("a", 8_000);
        mFixture.submit("small", OwnerFixture.step(1, 1_000, FILLER));
        mFixture.submit("large", OwnerFixture.step(4, 1_000, FILLER));
        mFixture.storeAndSchedule();
        assertThat(mFixture.mProfiles.getFirst().rank())
                .isGreaterThan(mFixture.mProfiles.getLast().rank());
    }
}
