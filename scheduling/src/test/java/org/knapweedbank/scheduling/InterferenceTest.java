package org.knapweedbank.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

class InterferenceTest {
    private static final long OBJECTIVE_MICROS = 10_000;

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PartitionScheduler mScheduler = mFixture.mScheduler;
    private final VmId mVm = mFixture.vm("a", "d1", 16);
    private final PendingTask mService =
            mFixture.enqueue(mFixture.task("svc", 0, "team", JobKind.SERVICE, 2, false));
    private final PendingTask mBatch = mFixture.enqueue(mFixture.batch("job", 0, 4));

    InterferenceTest() {
        mFixture.schedule();
    }

    private List<InterferenceAction> sample(double ratio, Duration age) {
        long sampled = mFixture.mClock.monotonicNanos() - age.toNanos();
        mScheduler.recordUsage(
                new UsageObservation(
                        mService.id(),
                        mVm,
                        Resources.NONE,
                        (long) (ratio * OBJECTIVE_MICROS),
                        OBJECTIVE_MICROS,
                        sampled));
        return mScheduler.controlInterference();
    }

    /** Samples each second with a ratio; returns all actions. */
    private List<InterferenceAction> run(int seconds, double ratio, Duration lag) {
        List<InterferenceAction> actions = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            mFixture.advance(Duration.ofSeconds(1));
            actions.addAll(sample(ratio, lag));
        }
        return actions;
    }

    private InterferenceAction throttle(double share) {
        return new InterferenceAction.Throttle(mBatch.id(), mVm, share);
    }

    /** Guards against steps that are skipped, never end or are never taken back. */
    @Test
    void throttlesInStepsThenEvictsAndRecovers() {
        List<InterferenceAction> actions = run(60, 1.5, Duration.ZERO);
        assertThat(actions)
                .containsExactly(
                        throttle(0.5),
                        throttle(0.25),
                        throttle(0.1),
                        new InterferenceAction.Evict(mBatch.id(), mVm))
                .inOrder();
        mScheduler.release(mBatch.id());
        mScheduler.adopt(mBatch, mVm);
        assertThat(run(400, 0.5, Duration.ZERO)).contains(throttle(1));
    }

    /** Guards against a lag in the samples leading to several steps for one cause. */
    @Test
    void takesOneStepForSamplesFromBeforeTheStep() {
        Duration lag = Duration.ofSeconds(15);
        mFixture.advance(Duration.ofSeconds(30));
        assertThat(run(10, 1.5, lag)).containsExactly(throttle(0.5));
        assertThat(run(5, 1.5, lag)).isEmpty();
    }

    /** Guards against doubled, reordered and outdated samples counting as new ones. */
    @Test
    void ignoresDoubledReorderedAndOldSamples() {
        mFixture.advance(Duration.ofMinutes(5));
        assertThat(sample(1.5, Duration.ofSeconds(2))).isEmpty();
        assertThat(sample(1.5, Duration.ofSeconds(2))).isEmpty();
        assertThat(sample(1.5, Duration.ofSeconds(9))).isEmpty();
        assertThat(sample(5, Duration.ofMinutes(3))).isEmpty();
        assertThat(sample(1.5, Duration.ZERO)).containsExactly(throttle(0.5));
    }

    /** Guards against limits being lifted because samples are missing. */
    @Test
    void keepsLimitsWhileSamplesAreMissing() {
        assertThat(run(2, 1.5, Duration.ZERO)).containsExactly(throttle(0.5));
        mFixture.advance(Duration.ofHours(1));
        assertThat(mScheduler.controlInterference()).isEmpty();
        assertThat(sample(0.5, Duration.ZERO)).isEmpty();
    }

    /** Guards against a pair that is known to interfere being placed together again. */
    @Test
    void avoidsPairsThatInterfere() {
        run(20, 2, Duration.ZERO);
        mFixture.vm("b", "d1", 64);
        PendingTask next = mFixture.enqueue(mFixture.batch("next", 0, 4));
        mFixture.schedule();
        assertThat(mFixture.vmOf(next)).isEqualTo(new VmId("b"));
    }

    /** Guards against a change of owner losing what was learned. */
    @Test
    void restoresWhatWasLearned() {
        run(40, 2, Duration.ZERO);
        LearnedState learned = mScheduler.learnedState();
        assertThat(learned.penalties()).hasSize(1);
        SchedulerFixture other = new SchedulerFixture();
        other.mScheduler.restoreLearnedState(learned);
        assertThat(other.mScheduler.learnedState()).isEqualTo(learned);
    }
}
