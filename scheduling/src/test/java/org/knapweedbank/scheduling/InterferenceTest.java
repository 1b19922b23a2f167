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
    private final VmId mVm = mFixture.addVm("a", "d1", 16);
    private final PendingTask mService =
            mFixture.enqueue(mFixture.task("svc", 0, "team", JobKind.SERVICE, 2, false));
    private final PendingTask mBatch = mFixture.enqueue(mFixture.batchTask("job", 0, 4));

    InterferenceTest() {
        mFixture.schedule();
    }

    private List<InterferenceAction> reportSample(double latencyRatio, Duration age) {
        long sampledNanos = mFixture.mClock.monotonicNanos() - age.toNanos();
        mScheduler.recordUsage(
                new UsageObservation(
                        mService.id(),
                        mVm,
                        Resources.NONE,
                        (long) (latencyRatio * OBJECTIVE_MICROS),
                        OBJECTIVE_MICROS,
                        sampledNanos));
        return mScheduler.controlInterference();
    }

    /** Reports one sample per second with the given latency ratio and returns all actions. */
    private List<InterferenceAction> reportSamples(int seconds, double latencyRatio, Duration lag) {
        List<InterferenceAction> actions = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            mFixture.advance(Duration.ofSeconds(1));
            actions.addAll(reportSample(latencyRatio, lag));
        }
        return actions;
    }

    private InterferenceAction throttleTo(double share) {
        return new InterferenceAction.Throttle(mBatch.id(), mVm, share);
    }

    /**
     * Guards against throttling steps that are skipped, are never followed by an eviction or are
     * never reversed.
     */
    @Test
    void throttlesInStepsThenEvictsAndRecovers() {
        List<InterferenceAction> actions = reportSamples(60, 1.5, Duration.ZERO);
        assertThat(actions)
                .containsExactly(
                        throttleTo(0.5),
                        throttleTo(0.25),
                        throttleTo(0.1),
                        new InterferenceAction.Evict(mBatch.id(), mVm))
                .inOrder();
        mScheduler.release(mBatch.id());
        mScheduler.adopt(mBatch, mVm);
        assertThat(reportSamples(400, 0.5, Duration.ZERO)).contains(throttleTo(1));
    }

    /** Guards against delayed samples causing several throttling steps for one cause. */
    @Test
    void takesOneStepForSamplesFromBeforeTheStep() {
        Duration lag = Duration.ofSeconds(15);
        mFixture.advance(Duration.ofSeconds(30));
        assertThat(reportSamples(10, 1.5, lag)).containsExactly(throttleTo(0.5));
        assertThat(reportSamples(5, 1.5, lag)).isEmpty();
    }

    /** Guards against duplicate, reordered and outdated samples being counted as new ones. */
    @Test
    void ignoresDoubledReorderedAndOldSamples() {
        mFixture.advance(Duration.ofMinutes(5));
        assertThat(reportSample(1.5, Duration.ofSeconds(2))).isEmpty();
        assertThat(reportSample(1.5, Duration.ofSeconds(2))).isEmpty();
        assertThat(reportSample(1.5, Duration.ofSeconds(9))).isEmpty();
        assertThat(reportSample(5, Duration.ofMinutes(3))).isEmpty();
        assertThat(reportSample(1.5, Duration.ZERO)).containsExactly(throttleTo(0.5));
    }

    /** Guards against throttling being lifted because samples are missing. */
    @Test
    void keepsLimitsWhileSamplesAreMissing() {
        assertThat(reportSamples(2, 1.5, Duration.ZERO)).containsExactly(throttleTo(0.5));
        mFixture.advance(Duration.ofHours(1));
        assertThat(mScheduler.controlInterference()).isEmpty();
        assertThat(reportSample(0.5, Duration.ZERO)).isEmpty();
    }

    /** Guards against placing classes that are known to interfere on the same VM. */
    @Test
    void avoidsPairsThatInterfere() {
        reportSamples(20, 2, Duration.ZERO);
        mFixture.addVm("b", "d1", 64);
        PendingTask next = mFixture.enqueue(mFixture.batchTask("next", 0, 4));
        mFixture.schedule();
        assertThat(mFixture.vmOf(next)).isEqualTo(new VmId("b"));
    }

    /** Guards against losing the learned state when the owner of the partition changes. */
    @Test
    void restoresLearnedState() {
        reportSamples(40, 2, Duration.ZERO);
        LearnedState learned = mScheduler.learnedState();
        assertThat(learned.penalties()).hasSize(1);
        SchedulerFixture restored = new SchedulerFixture();
        restored.mScheduler.restoreLearnedState(learned);
        assertThat(restored.mScheduler.learnedState()).isEqualTo(learned);
    }
}
