package org.knapweedbank.jobs.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;

/** Tests admission over time, on a pool of 10 cores in which work waits for 20 s at the start. */
class AdmissionControllerTest {
    private static final WorkPool POOL = new WorkPool("svc", WorkKind.FILLER);
    private static final long WARM_UP_MILLIS = 10_000;

    /** Urgency by number, the lowest first; equal ones do not overtake each other. */
    private record Rank(int number) implements Urgency<Rank> {
        @Override
        public boolean overtakes(Rank earlier) {
            return number < earlier.number;
        }

        @Override
        public int compareTo(Rank other) {
            return Integer.compare(number, other.number);
        }
    }

    private long mNow;
    private IdleRoomFit mIdleRoomFit = IdleRoomFit.NONE;

    private final AdmissionController<Rank> mController =
            new AdmissionController<>(
                    new AdmissionSettings(
                            true, Duration.ofMillis(WARM_UP_MILLIS), Duration.ofSeconds(2)),
                    0,
                    () -> mNow * 1_000_000);

    private void sample(long millis, double cores, double coreSecondsBefore) {
        for (long end = mNow + millis; mNow < end; ) {
            mNow += 250;
            var unfinished = List.of(new QueuedWork<>(new Rank(1), coreSecondsBefore * 1_000));
            mController.sample(mNow, Map.of(POOL, new PoolSample<>(true, cores * 250, unfinished)));
        }
    }

    private AdmissionDecision submit(String id, int rank, double coreSeconds) {
        return mController.decide(
                new JobDemand<>(
                        new JobId(id),
                        POOL,
                        new Rank(rank),
                        coreSeconds * 1_000,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(12)),
                mNow,
                () -> mIdleRoomFit);
    }

    private boolean admits(String id, int rank) {
        return submit(id, rank, 10) instanceof AdmissionDecision.Admit;
    }

    private long retryMillis(String id) {
        return ((AdmissionDecision.Refuse) submit(id, 1, 20)).retryAfter().toMillis();
    }

    /** Guards against refusals in the warm-up of a term. */
    @Test
    void nothingIsRefusedInTheWarmUp() {
        sample(WARM_UP_MILLIS - 250, 10, 900);
        assertThat(admits("a", 1)).isTrue();
        sample(250, 10, 900);
        assertThat(admits("b", 1)).isFalse();
    }

    /** Guards against refusals because of one burst: the job is late for less than 2 s. */
    @Test
    void nothingIsRefusedBeforeThePersistenceTime() {
        sample(20_000, 10, 50);
        sample(2_000, 10, 900);
        assertThat(admits("a", 1)).isTrue();
        sample(250, 10, 900);
        assertThat(admits("b", 1)).isFalse();
    }

    /** Guards against refusals of jobs that go before the waiting work. */
    @Test
    void moreUrgentJobIsAdmitted() {
        sample(20_000, 10, 900);
        assertThat(admits("a", 0)).isTrue();
    }

    /** Guards against jobs that are admitted and then overtaken until they are late. */
    @Test
    void jobThatLaterOnesOvertakeIsRefused() {
        for (int i = 0; i < 30; i++) {
            sample(1_000, 10, 50);
            assertThat(admits("a" + i, 1)).isTrue();
        }
        assertThat(admits("b", 1)).isTrue();
        assertThat(admits("c", 2)).isFalse();
    }

    /**
     * Guards against a pause of the owner that counts as time in which work waited, and against a
     * refusal by the load from before a pause.
     */
    @Test
    void pauseDoesNotCountAsWaitingTime() {
        sample(4_000, 10, 900);
        mController.interrupt();
        mNow += 20_000;
        sample(1_000, 10, 900);
        assertThat(admits("a", 1)).isTrue();
        sample(3_000, 10, 900);
        assertThat(admits("b", 1)).isFalse();
        mController.interrupt();
        sample(1_500, 10, 900);
        assertThat(admits("c", 1)).isTrue();
    }

    /** Guards against callers that all return at the same time. */
    @Test
    void laterRefusalsGetLongerRetryTimes() {
        sample(20_000, 10, 120);
        assertThat(retryMillis("a")).isEqualTo(2_000);
        assertThat(retryMillis("b")).isEqualTo(4_000);
        assertThat(retryMillis("c")).isEqualTo(6_000);
    }

    /** Guards against a returning caller that waits behind newer ones, or behind itself. */
    @Test
    void returningJobIsJudgedWithoutTheWorkOfLaterOnes() {
        sample(20_000, 10, 120);
        assertThat(retryMillis("a")).isEqualTo(2_000);
        assertThat(retryMillis("b")).isEqualTo(4_000);
        sample(2_250, 10, 90);
        assertThat(admits("c", 1)).isFalse();
        assertThat(admits("a", 1)).isTrue();
        assertThat(admits("a2", 1)).isFalse();
    }

    /** Guards against a copy that runs while the refusal of another copy is on its way. */
    @Test
    void copyOfARefusedSubmissionGetsTheSameAnswer() {
        sample(20_000, 10, 120);
        AdmissionDecision first = submit("a", 1, 20);
        assertThat(first).isInstanceOf(AdmissionDecision.Refuse.class);
        sample(750, 10, 0);
        assertThat(submit("a", 1, 20)).isEqualTo(first);
        sample(250, 10, 0);
        assertThat(submit("a", 1, 20)).isInstanceOf(AdmissionDecision.Admit.class);
    }

    /** Guards against memory that is held for services that are no longer configured. */
    @Test
    void poolWithoutWorkIsForgotten() {
        sample(20_000, 10, 120);
        assertThat(submit("a", 1, 20)).isInstanceOf(AdmissionDecision.Refuse.class);
        mController.sample(mNow += 500, Map.of());
        assertThat(mController.countPools()).isEqualTo(1);
        mController.sample(mNow += RateMeter.MAX_AGE_MILLIS, Map.of());
        mController.sample(mNow += 2_500, Map.of());
        assertThat(mController.countPools()).isEqualTo(0);
    }

    /**
     * Guards against the refusal of a job that starts at once, and against one that does not count
     * as work before later ones although some of its tasks wait.
     */
    @Test
    void jobThatStartsOnIdleRoomIsAdmitted() {
        sample(20_000, 10, 120);
        mIdleRoomFit = IdleRoomFit.SOME_TASKS;
        assertThat(submit("a", 1, 40)).isEqualTo(new AdmissionDecision.Admit(true));
        mIdleRoomFit = IdleRoomFit.NONE;
        assertThat(retryMillis("b")).isEqualTo(6_000);
    }

    /** Guards against refusals because of a job that does not use the VMs of the waiting work. */
    @Test
    void jobThatFitsIdleRoomIsNoWorkBeforeLaterOnes() {
        sample(20_000, 10, 120);
        mIdleRoomFit = IdleRoomFit.ALL_TASKS;
        assertThat(submit("a", 1, 40)).isEqualTo(new AdmissionDecision.Admit(false));
        mIdleRoomFit = IdleRoomFit.NONE;
        assertThat(retryMillis("b")).isEqualTo(2_000);
    }

    /** Guards against a copy that starts while the refusal of another copy is on its way. */
    @Test
    void copyOfARefusedSubmissionIsRefusedAlthoughItFitsIdleRoom() {
        sample(20_000, 10, 120);
        assertThat(admits("a", 1)).isFalse();
        mIdleRoomFit = IdleRoomFit.SOME_TASKS;
        assertThat(admits("a", 1)).isFalse();
        sample(1_000, 10, 120);
        assertThat(admits("a", 1)).isTrue();
    }

    /** Guards against refusals after an outage of the store, in which callers submit again. */
    @Test
    void jobThatIsSubmittedAgainArrivesOnce() {
        for (int i = 0; i < 30; i++) {
            sample(1_000, 10, 50);
            assertThat(admits("a", 1)).isTrue();
        }
        assertThat(admits("b", 2)).isTrue();
    }

    /** Guards against recorded work of callers that do not return, and an unbounded record. */
    @Test
    void recordIsBoundedInTimeAndSize() {
        RefusedJobs<Rank> jobs = new RefusedJobs<>(() -> mNow * 1_000_000);
        Duration retryAfter = Duration.ofSeconds(3);
        var refusal =
                new AdmissionDecision.Refuse("", Duration.ZERO, Duration.ZERO, 0, 1, retryAfter);
        for (int i = 0; i < 2 * RefusedJobs.MAX_JOBS; i++) {
            var demand =
                    new JobDemand<>(
                            new JobId("j" + i),
                            POOL,
                            new Rank(1),
                            1,
                            Duration.ZERO,
                            Duration.ZERO,
                            Duration.ZERO);
            jobs.put(new RefusedJob<>(demand, mNow, mNow, refusal));
        }
        assertThat(jobs.count()).isEqualTo(RefusedJobs.MAX_JOBS);
        mNow += retryAfter.multipliedBy(2).toMillis();
        assertThat(jobs.count()).isEqualTo(0);
    }

    /** Guards against decisions that depend on declared run times: all are too long by a factor. */
    @Test
    void wrongRunTimesScaleWorkAndRateAlike() {
        sample(20_000, 30, 360);
        AdmissionDecision.Refuse refusal = (AdmissionDecision.Refuse) submit("a", 1, 60);
        assertThat(refusal.retryAfter()).isEqualTo(Duration.ofSeconds(2));
    }
}
