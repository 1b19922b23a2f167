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

    private final OwnerWorld mWorld = new OwnerWorld();

    private void progress(OwnerWorld.Order order, int percent) {
        RunningTask row = new RunningTask(order.mTask(), order.mRun(), "", percent, 1_000);
        mWorld.mOwner.progress(order.mVm(), OwnerWorld.worker("a", 1, 0, false).id(), List.of(row));
    }

    /** Guards against a task that is nearly done and is paced as if it had just begun. */
    @Test
    void agentIsToldOfAHigherRankAsTheWorkLeftShrinks() {
        mWorld.join("a", 4_000);
        mWorld.submit("j", OwnerWorld.step(1, 1_000, FILLER));
        mWorld.store();
        OwnerWorld.Order order = mWorld.last();
        mWorld.started(order);
        RunProfile first = mWorld.mProfiles.getLast();
        progress(order, 50);
        RunProfile second = mWorld.mProfiles.getLast();
        assertThat(second.rank()).isGreaterThan(first.rank() * 1.5);
        int told = mWorld.mProfiles.size();
        progress(order, 51);
        assertThat(mWorld.mProfiles).hasSize(told);
    }

    /** Guards against an order of fillers that ignores which job serves its caller best. */
    @Test
    void smallerJobHasTheHigherRank() {
        mWorld.join("a", 8_000);
        mWorld.submit("small", OwnerWorld.step(1, 1_000, FILLER));
        mWorld.submit("large", OwnerWorld.step(4, 1_000, FILLER));
        mWorld.store();
        assertThat(mWorld.mProfiles.getFirst().rank())
                .isGreaterThan(mWorld.mProfiles.getLast().rank());
    }
}
