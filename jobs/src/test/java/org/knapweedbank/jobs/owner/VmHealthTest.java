package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.ManualClock;

/** Tests of suspecting and suspending VMs after failures. */
class VmHealthTest {
    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final VmHealth mHealth = new VmHealth(mClock);

    private boolean fail(String job) {
        return mHealth.recordFailure(new JobId(job), 10, false);
    }

    private void pass(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    private void suspend() {
        fail("a");
        assertThat(fail("b")).isTrue();
    }

    private static Task task(int failures) {
        return task(OwnerFixture.step(1, 1_000, StepTraits.BATCH), failures);
    }

    private static Task task(StepSpec step, int failures) {
        Task task = new OwnerFixture().submit("j", step).tasks().findFirst().orElseThrow();
        for (int i = 0; i < failures; i++) {
            task.mFailedRuns.add(i);
        }
        return task;
    }

    /** Returns a run that is ordered now. */
    private Run run() {
        Vm vm = new Vm(new DaemonId("vm"), OwnerFixture.DATA_CENTRE, mClock);
        return new Run(task(0), vm, 1, mClock.monotonicMillis());
    }

    /** Guards against suspending a VM because of one faulty job. */
    @Test
    void failuresOfOneJobDoNotSuspend() {
        for (int i = 0; i < 10; i++) {
            assertThat(fail("a")).isFalse();
            pass(1);
        }
        assertThat(mHealth.suspended()).isFalse();
        assertThat(mHealth.suspected()).isFalse();
    }

    /** Guards against a faulty VM that uses up the attempts of one job after the other. */
    @Test
    void failuresOfSeveralJobsInARowSuspend() {
        suspend();
        pass(1);
        assertThat(mHealth.suspended()).isTrue();
        pass(10_000);
        assertThat(mHealth.suspended()).isFalse();
        assertThat(mHealth.suspected()).isTrue();
    }

    /** Guards against a suspension because of failures with a success in between. */
    @Test
    void successClearsFailures() {
        fail("a");
        mHealth.recordWork(run(), true);
        assertThat(fail("b")).isFalse();
    }

    /** Guards against a suspension because of failures that have nothing to do with each other. */
    @Test
    void failuresFarApartDoNotSuspend() {
        fail("a");
        pass(10_001);
        assertThat(fail("b")).isFalse();
    }

    /** Guards against a suspicion of sound VMs because of jobs that fail everywhere. */
    @Test
    void failuresOfSuspectedJobsRaiseNoSuspicion() {
        fail("a");
        assertThat(mHealth.recordFailure(new JobId("b"), 10, true)).isFalse();
    }

    /** Guards against a faulty VM that is no longer suspended as all jobs have failed elsewhere. */
    @Test
    void failuresOfSuspectedJobsRenewSuspension() {
        suspend();
        pass(2_000);
        assertThat(mHealth.recordFailure(new JobId("c"), 10, true)).isTrue();
    }

    /** Guards against a VM that is closed for as long as it is suspended, and against a flood. */
    @Test
    void suspendedVmTakesMoreTrialsAsLongAsNoneFails() {
        suspend();
        assertThat(startedInOneInterval()).isEqualTo(1);
        assertThat(mHealth.suspended()).isTrue();
        assertThat(startedInOneInterval()).isEqualTo(2);
        assertThat(startedInOneInterval()).isEqualTo(4);
        fail("c");
        assertThat(startedInOneInterval()).isEqualTo(1);
    }

    private int startedInOneInterval() {
        Task task = task(0);
        int started = 0;
        while (mHealth.accepts(task)) {
            mHealth.recordStart(task);
            started++;
        }
        pass(1_000);
        return started;
    }

    /** Guards against faulty batch jobs that take all trials from long-running tasks. */
    @Test
    void longRunningTaskHasItsOwnTrial() {
        suspend();
        startedInOneInterval();
        startedInOneInterval();
        mHealth.recordStart(task(0));
        assertThat(mHealth.accepts(task(OwnerFixture.servingStep(1, 1_000, 0), 3))).isTrue();
    }

    /** Guards against a job that fails because of a trial, and against one that waits forever. */
    @Test
    void lastAttemptIsNoTrialSoonAfterFailure() {
        suspend();
        assertThat(mHealth.accepts(task(1))).isFalse();
        pass(1_500);
        assertThat(mHealth.accepts(task(1))).isTrue();
    }

    /** Guards against a suspicion that outlasts the proof of the contrary. */
    @Test
    void workOfLaterRunEndsSuspicion() {
        suspend();
        pass(5);
        Run run = run();
        pass(11);
        assertThat(mHealth.recordWork(run, false)).isTrue();
        assertThat(mHealth.suspected()).isFalse();
    }

    /** Guards against a proof by runs that the worker started before it became faulty. */
    @Test
    void workOfEarlierRunProvesNothing() {
        Run run = run();
        pass(1);
        suspend();
        pass(100);
        assertThat(mHealth.recordWork(run, false)).isFalse();
        assertThat(mHealth.recordWork(run, true)).isFalse();
        assertThat(mHealth.suspected()).isTrue();
    }

    /** Guards against a proof by a run that is younger than the failed ones were. */
    @Test
    void workOfShorterRunProvesNothing() {
        suspend();
        pass(5);
        Run run = run();
        pass(10);
        assertThat(mHealth.recordWork(run, false)).isFalse();
    }

    /** Guards against a suspicion that lasts for as long as old runs had lasted that failed. */
    @Test
    void workForASecondProvesEnough() {
        mHealth.recordFailure(new JobId("a"), 60_000, false);
        mHealth.recordFailure(new JobId("b"), 60_000, false);
        Run run = run();
        pass(1_001);
        assertThat(mHealth.recordWork(run, false)).isTrue();
    }

    /** Guards against a worker that fails some runs and is open again after each success. */
    @Test
    void repeatedSuspicionNeedsMoreProof() {
        suspend();
        assertThat(mHealth.recordWork(run(), true)).isTrue();
        suspend();
        Run run = run();
        assertThat(mHealth.recordWork(run, true)).isFalse();
        assertThat(mHealth.recordWork(run, true)).isFalse();
        assertThat(mHealth.recordWork(run(), true)).isTrue();
    }
}
