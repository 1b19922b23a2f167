package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/** Tests of which VMs get start orders while the VM list changes and the store is slow. */
class VmListStorageTest {
    private static final Duration WRITE_TIME = Duration.ofMillis(400);

    private final OwnerFixture mFixture = new OwnerFixture();

    private static void report(OwnerFixture owner, String vm, long incarnation) {
        owner.report(
                vm, OwnerFixture.worker(vm, incarnation, 8_000, false), List.of(), List.of(), true);
    }

    private static void submitJob(OwnerFixture owner) {
        owner.submit("a", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        owner.storeAndSchedule();
    }

    /**
     * Guards against a VM that stays closed although the stored list holds it, because the list
     * changes during each write.
     */
    @Test
    void vmGetsOrdersAlthoughOtherVmsJoinDuringEachWrite() {
        submitJob(mFixture);
        report(mFixture, "vm", 1);
        for (int write = 0; write < 5; write++) {
            long writtenVersion = mFixture.mOwner.vmList().version();
            report(mFixture, "busy", 2 + write);
            mFixture.advanceTime(WRITE_TIME, "vm", "busy");
            mFixture.mOwner.markVmListWritten(writtenVersion, 1_000 + write);
        }
        mFixture.mOwner.schedule();
        assertThat(mFixture.mStarts).hasSize(1);
        assertThat(mFixture.lastStart().mVm()).isEqualTo(new DaemonId("vm"));
    }

    /**
     * Guards against a new owner whose VMs stay closed while it waits for a VM that is gone, whose
     * unreachable time changes the list every second, if a write takes as long.
     */
    @Test
    void vmGetsOrdersWhileUnreachableTimesAreStored() throws IOException {
        mFixture.addVm("gone", 8_000);
        OwnerFixture second = mFixture.createSuccessor();
        second.advanceTime(Duration.ofSeconds(3));
        report(second, "vm", 1);
        second.submit("a", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        second.mOwner.dirtyJobs(1).forEach(job -> second.mOwner.markWritten(job, 1, 999));
        for (int write = 0; write < 3; write++) {
            long writtenVersion = second.mOwner.vmList().version();
            second.advanceTime(Duration.ofSeconds(1), "vm");
            second.mOwner.markVmListWritten(writtenVersion, 1_000 + write);
        }
        second.mOwner.schedule();
        assertThat(second.mStarts).hasSize(1);
    }

    /**
     * Guards against start orders to an incarnation that the stored list does not hold yet, because
     * it holds the former one of the same VM.
     */
    @Test
    void restartedWorkerGetsNoOrdersBeforeItIsStored() {
        mFixture.addVm("vm", 8_000);
        long writtenVersion = mFixture.mOwner.vmList().version();
        report(mFixture, "vm", 2);
        submitJob(mFixture, writtenVersion);
        assertThat(mFixture.mStarts).isEmpty();
        mFixture.storeAndSchedule();
        assertThat(mFixture.mStarts).hasSize(1);
    }

    /**
     * Guards against start orders to a VM that has left the list and joined it again, while the
     * stored list is the one without it.
     */
    @Test
    void returningVmGetsNoOrdersBeforeItIsStoredAgain() {
        mFixture.addVm("vm", 8_000);
        mFixture.mOwner.handleNoWorker(new DaemonId("vm"), "test");
        long versionWithoutVm = mFixture.mOwner.vmList().version();
        report(mFixture, "vm", 1);
        submitJob(mFixture, versionWithoutVm);
        assertThat(mFixture.mStarts).isEmpty();
        mFixture.storeAndSchedule();
        assertThat(mFixture.mStarts).hasSize(1);
    }

    /** Submits and stores a job while the newest stored VM list is that of a given version. */
    private static void submitJob(OwnerFixture owner, long storedVersion) {
        owner.submit("a", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        owner.mOwner.dirtyJobs(1).forEach(job -> owner.mOwner.markWritten(job, 1, 999));
        owner.mOwner.markVmListWritten(storedVersion, 1_000);
        owner.mOwner.schedule();
    }
}
