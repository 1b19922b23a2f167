package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.ManualClock;

/** Tests of the ratio of latest to expected run times. */
class RunTimeAccuracyTest {
    private final RunTimeAccuracy mAccuracy = new RunTimeAccuracy();

    private double ratioAfter(int count, double actualMillis) {
        IntStream.range(0, count)
                .forEach(i -> mAccuracy.observe(OwnerFixture.QUEUE, actualMillis, 1_000));
        return mAccuracy.latestRatio(OwnerFixture.QUEUE);
    }

    /** Guards against latest ends from too few observations, and from those of long ago. */
    @Test
    void ratioFollowsRecentObservations() {
        assertThat(ratioAfter(5, 500)).isEqualTo(2);
        assertThat(ratioAfter(995, 500)).isWithin(0.01).of(0.5);
        assertThat(ratioAfter(200, 4_000)).isWithin(0.05).of(4);
        assertThat(ratioAfter(1_100, 500)).isWithin(0.01).of(0.5);
    }

    /**
     * Guards against ratios from runs that a former owner started: this owner has seen only the
     * last part of them, so they would let all runs seem to end early.
     */
    @Test
    void adoptedRunsAreNotObserved() {
        ManualClock clock = new ManualClock(Instant.ofEpochSecond(1_000));
        OwnerState state =
                OwnerFixture.createState(
                        OwnerFixture.settings(MixedLoad.scheduling(true)), clock, 2);
        StepSpec step = OwnerFixture.step(20, 1_000, StepTraits.BATCH);
        JobSubmission submission =
                new JobSubmission(new JobId("j"), "", List.of(step), Timetable.ONCE);
        Job job = new Job(submission, OwnerFixture.queue(2), clock.wallTime());
        state.addJob(job);
        Vm vm = new Vm(new DaemonId("a"), OwnerFixture.DATA_CENTRE, clock);
        RunTracker tracker = new RunTracker(state);
        List<Task> tasks = job.tasks().toList();
        tasks.forEach(task -> tracker.adopt(task, vm, 1));
        clock.advance(Duration.ofMillis(100));
        for (int i = 0; i < tasks.size(); i++) {
            tracker.handleEnd(vm, new EndedRun(i + 1, tasks.get(i).mName, 1, EndKind.DONE, ""));
        }
        assertThat(job.finished()).isTrue();
        assertThat(state.mRunTimeAccuracy.latestRatio(OwnerFixture.QUEUE)).isEqualTo(2);
    }
}
