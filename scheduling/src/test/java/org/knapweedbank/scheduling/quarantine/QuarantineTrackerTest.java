package org.knapweedbank.scheduling.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.ManualClock;

class QuarantineTrackerTest {
    private static final int VMS = 20;
    private static final VmId BAD = new VmId("bad");

    private final ManualClock mClock = new ManualClock();
    private final QuarantineTracker mTracker =
            new QuarantineTracker(mClock, RandomSource.XO_SHI_RO_256_PP.create(1L));

    private void recordFailuresOnBad(int jobs) {
        for (int i = 0; i < jobs; i++) {
            JobId job = new JobId("job" + i);
            mTracker.recordSuccess(job, new VmId("good"));
            mTracker.recordFailure(job, BAD, VMS);
        }
    }

    /** Guards against quarantining a VM for the failures of a single job. */
    @Test
    void quarantinesOnlyForFailuresOfDifferentJobs() {
        for (int i = 0; i < 10; i++) {
            recordFailuresOnBad(1);
        }
        assertThat(mTracker.health(BAD)).isEqualTo(VmHealth.HEALTHY);
        recordFailuresOnBad(2);
        assertThat(mTracker.health(BAD)).isEqualTo(VmHealth.QUARANTINED);
        assertThat(mTracker.takesTasks(BAD)).isFalse();
    }

    /** Guards against quarantining VMs for jobs that fail on all VMs. */
    @Test
    void ignoresFailuresOfJobsThatFailEverywhere() {
        for (int j = 0; j < 6; j++) {
            for (int v = 0; v < VMS; v++) {
                mTracker.recordFailure(new JobId("broken" + j), new VmId("v" + v), VMS);
            }
        }
        assertThat(mTracker.unhealthyVms()).isEmpty();
    }

    /** Guards against quarantining most VMs because of a fault that affects all of them. */
    @Test
    void boundsTheShareOfQuarantinedVms() {
        for (int v = 0; v < VMS; v++) {
            for (int j = 0; j < 4; j++) {
                JobId job = new JobId("job" + j);
                mTracker.recordSuccess(job, new VmId("good"));
                mTracker.recordFailure(job, new VmId("v" + v), VMS);
            }
        }
        assertThat(mTracker.unhealthyVms()).hasSize(4);
    }

    /** Guards against a VM that is never retested or that returns without a successful retest. */
    @Test
    void retestsAfterGrowingIntervals() {
        recordFailuresOnBad(2);
        mClock.advance(Duration.ofSeconds(50));
        assertThat(mTracker.applyDueTransitions()).isEmpty();
        mClock.advance(Duration.ofSeconds(20));
        assertThat(mTracker.applyDueTransitions()).containsExactly(BAD);
        assertThat(mTracker.takesTasks(BAD)).isTrue();
        assertThat(mTracker.recordPlacement(BAD)).isTrue();
        assertThat(mTracker.takesTasks(BAD)).isFalse();
        mTracker.recordFailure(new JobId("job9"), BAD, VMS);
        mClock.advance(Duration.ofSeconds(100));
        assertThat(mTracker.applyDueTransitions()).isEmpty();
        mClock.advance(Duration.ofSeconds(40));
        assertThat(mTracker.applyDueTransitions()).containsExactly(BAD);
        mTracker.recordPlacement(BAD);
        mTracker.recordSuccess(new JobId("job9"), BAD);
        assertThat(mTracker.health(BAD)).isEqualTo(VmHealth.HEALTHY);
        assertThat(mTracker.takesTasks(BAD)).isTrue();
    }
}
