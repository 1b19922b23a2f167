package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;

/** Tests of suspending VMs after failures. */
class VmHealthTest {
    private final VmHealth mHealth = new VmHealth();

    /** Guards against suspending a VM because of one faulty job. */
    @Test
    void failuresOfOneJobDoNotSuspend() {
        for (int i = 0; i < 10; i++) {
            assertThat(mHealth.recordFailure(new JobId("a"), i)).isFalse();
        }
        assertThat(mHealth.suspended(10)).isFalse();
    }

    /** Guards against a faulty VM that uses up the attempts of one job after the other. */
    @Test
    void failuresOfSeveralJobsInARowSuspend() {
        mHealth.recordFailure(new JobId("a"), 0);
        assertThat(mHealth.recordFailure(new JobId("b"), 1)).isTrue();
        assertThat(mHealth.suspended(2)).isTrue();
        assertThat(mHealth.suspended(10_000)).isFalse();
    }

    /** Guards against a suspension because of failures with a success in between. */
    @Test
    void successClearsFailures() {
        mHealth.recordFailure(new JobId("a"), 0);
        mHealth.reset();
        assertThat(mHealth.recordFailure(new JobId("b"), 1)).isFalse();
    }
}
