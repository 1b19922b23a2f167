package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;

/** Evidence on failing VMs. */
class VmHealthTest {
    private final VmHealth mHealth = new VmHealth();

    /** Guards against a VM that is condemned for the fault of one job. */
    @Test
    void failuresOfOneJobDoNotSuspend() {
        for (int i = 0; i < 10; i++) {
            assertThat(mHealth.recordFailure(new JobId("a"), i)).isFalse();
        }
        assertThat(mHealth.suspended(10)).isFalse();
    }

    /** Guards against a VM that burns the attempts of one job after the other. */
    @Test
    void failuresOfSeveralJobsInARowSuspend() {
        mHealth.recordFailure(new JobId("a"), 0);
        assertThat(mHealth.recordFailure(new JobId("b"), 1)).isTrue();
        assertThat(mHealth.suspended(2)).isTrue();
        assertThat(mHealth.suspended(10_000)).isFalse();
    }

    /** Guards against suspension by failures that lie between successes. */
    @Test
    void successForgetsFailures() {
        mHealth.recordFailure(new JobId("a"), 0);
        mHealth.reset();
        assertThat(mHealth.recordFailure(new JobId("b"), 1)).isFalse();
    }
}
