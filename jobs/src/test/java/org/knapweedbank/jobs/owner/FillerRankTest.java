package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StepTraits;

/** What agents are told of the order in which fillers get the room of a VM. */
class FillerRankTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final OwnerFixture mFixture = new OwnerFixture();

    private void progress(OwnerFixture.Order order, int percent) {
        RunningTask row = new RunningTask(order.mTask(), order.mRunNumber(), "", percent, 1_000);
        mFixture.mOwner.progress(
                order.mVm(), OwnerFixture.worker("a", 1, 0, false).id(), List.of(row));
    }

    /** Guards against a task that is nearly done and is paced as if it had just begun. */
    @Test
    void agentIsToldOfAHigherRankAsTheWorkLeftShrinks() {
        mFixture.addVm("a", 4_000);
        mFixture.submit("j", OwnerFixture.step(1, 1_000, FILLER));
        mFixture.storeAndSchedule();
        OwnerFixture.Order order = mFixture.lastStart();
        mFixture.reportStarted(order);
        RunProfile first = mFixture.mProfiles.getLast();
        progress(order, 50);
        RunProfile second = mFixture.mProfiles.getLast();
        assertThat(second.rank()).isGreaterThan(first.rank() * 1.5);
        int told = mFixture.mProfiles.size();
        progress(order, 51);
        assertThat(mFixture.mProfiles).hasSize(told);
    }

    /** Guards against an order of fillers that ignores which job serves its caller best. */
    @Test
    void smallerJobHasTheHigherRank() {
        mFixture.addVm("a", 8_000);
        mFixture.submit("small", OwnerFixture.step(1, 1_000, FILLER));
        mFixture.submit("large", OwnerFixture.step(4, 1_000, FILLER));
        mFixture.storeAndSchedule();
        assertThat(mFixture.mProfiles.getFirst().rank())
                .isGreaterThan(mFixture.mProfiles.getLast().rank());
    }
}
