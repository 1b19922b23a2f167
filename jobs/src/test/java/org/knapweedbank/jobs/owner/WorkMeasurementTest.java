package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.jobs.admission.PoolSample;
import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.jobs.admission.WorkPool;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.ManualClock;

/** Tests what counts as completed work, with a filler task of 2 cores for an expected second. */
class WorkMeasurementTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final WorkPool POOL = new WorkPool("svc", WorkKind.FILLER);

    private final ManualClock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    private final OwnerState mState = OwnerFixture.createState(OwnerFixture.SETTINGS, mClock, 1);
    private final RunTracker mRunTracker = new RunTracker(mState);
    private final WorkMeasurement mMeasurement = new WorkMeasurement(mState);
    private final Vm mVm = new Vm(new DaemonId("a"), OwnerFixture.DATA_CENTRE, mClock);
    private final Task mTask = firstTask(OwnerFixture.step(1, 2_000, FILLER));

    private Task firstTask(StepSpec step) {
        mState.mVms.put(mVm.mAgent, mVm);
        JobSubmission submission =
                new JobSubmission(new JobId("j"), "", List.of(step), Timetable.ONCE);
        Job job = new Job(submission, OwnerFixture.queue(2), mClock.wallTime());
        mState.addJob(job);
        return job.tasks().findFirst().orElseThrow();
    }

    private void report(Task task, long runNumber, int percent) {
        if (task.mRun == null || task.mRun.mNumber != runNumber) {
            Optional.ofNullable(task.mRun).ifPresent(mRunTracker::release);
            mRunTracker.adopt(task, mVm, runNumber);
        }
        task.mRun.mProgressPercent = percent;
    }

    /** Guards against work that counts twice, after a lost run or at the end of a task. */
    @Test
    void progressCountsOnce() {
        report(mTask, 1, 0);
        assertThat(mMeasurement.take()).isEmpty();
        report(mTask, 1, 40);
        assertThat(mMeasurement.take()).isEqualTo(Map.of(POOL, 800.0));
        report(mTask, 2, 30);
        assertThat(mMeasurement.take()).isEmpty();
        report(mTask, 2, 60);
        assertThat(mMeasurement.take()).isEqualTo(Map.of(POOL, 400.0));
        mMeasurement.taskDone(mTask);
        assertThat(mMeasurement.take()).isEqualTo(Map.of(POOL, 800.0));
    }

    /** Guards against a rate that contains what runs had done under the former owner. */
    @Test
    void progressBeforeATakeoverDoesNotCount() {
        report(mTask, 1, 70);
        assertThat(mMeasurement.take()).isEmpty();
        mMeasurement.taskDone(mTask);
        assertThat(mMeasurement.take()).isEqualTo(Map.of(POOL, 600.0));
    }

    /** Guards against a rate that lacks what short runs do before the first sample sees them. */
    @Test
    void progressBeforeTheFirstSampleCountsForRunsOfThisOwner() {
        mVm.mWorker = OwnerFixture.worker("a", 1, 4_000, false);
        mRunTracker.start(mTask, mVm);
        mTask.mRun.mProgressPercent = 40;
        assertThat(mMeasurement.take()).isEqualTo(Map.of(POOL, 800.0));
    }

    /** Guards against a rate that contains what a run did before its checkpoint was stored. */
    @Test
    void progressInALoadedCheckpointDoesNotCount() {
        mVm.mWorker = OwnerFixture.worker("a", 1, 4_000, false);
        mTask.mCheckpoint = "c";
        mRunTracker.start(mTask, mVm);
        mTask.mRun.mProgressPercent = 40;
        assertThat(mMeasurement.take()).isEmpty();
    }

    /** Guards against serving tasks that count as work, as their progress is always 100%. */
    @Test
    void servingTasksDoNoMeasuredWork() {
        Task serving = firstTask(OwnerFixture.servingStep(1, 1_000, 1));
        report(serving, 1, 0);
        mMeasurement.take();
        report(serving, 1, 100);
        assertThat(mMeasurement.take()).isEmpty();
    }

    /** Guards against work that waits for a larger VM and is taken as a lack of processor time. */
    @Test
    void taskThatFitsOnNoVmDoesNotWaitForProcessorTime() {
        mTask.mStep.mJob.markWritten(1, 1, 0);
        WaitingWork waitingWork = new WaitingWork(mState, false);
        mVm.mWorker = OwnerFixture.worker("a", 1, 4_000, false);
        assertThat(waitingWork.waits(mTask.mStep)).isTrue();
        Task large = firstTask(OwnerFixture.step(1, 5_000, StepTraits.BATCH));
        large.mStep.mJob.markWritten(1, 1, 0);
        assertThat(waitingWork.waits(large.mStep)).isFalse();
    }

    /** Guards against a rate that contains work on VMs for which no work waits. */
    @Test
    void workOnIdleRoomDoesNotCount() {
        mTask.mStep.mJob.mOnIdleRoom = true;
        report(mTask, 1, 0);
        mMeasurement.take();
        report(mTask, 1, 70);
        assertThat(mMeasurement.take()).isEmpty();
    }

    /** Guards against a backlog that lacks jobs which wait after all, such as after a lost VM. */
    @Test
    void jobOnIdleRoomCountsFromTheTimeItWaits() {
        mVm.mWorker = OwnerFixture.worker("a", 1, 4_000, false);
        Job job = mTask.mStep.mJob;
        job.mOnIdleRoom = true;
        assertThat(sample().unfinished()).isEmpty();
        assertThat(job.mOnIdleRoom).isTrue();
        job.markWritten(1, 1, 0);
        assertThat(sample().unfinished()).hasSize(1);
        assertThat(job.mOnIdleRoom).isFalse();
    }

    private PoolSample<JobUrgency> sample() {
        return new LoadSampler(mState, new WaitingWork(mState, false)).sample(Map.of()).get(POOL);
    }
}
