package org.knapweedbank.bench.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.time.ManualClock;

/** A scheduler that holds a number of tasks, of which some end while as many are submitted. */
final class SteadyChurn {
    /** Tasks that wait all the time because no VM has eight free accelerators. */
    private static final int BACKLOG = 500;

    private final FleetModel mModel;
    private final ManualClock mClock = new ManualClock();
    private final PartitionScheduler mScheduler;
    private final List<TaskId> mRunning = new ArrayList<>();
    private long mBusyNanos;
    private long mDecisions;

    SteadyChurn(long seed, int workers) {
        mModel = new FleetModel(seed);
        mScheduler =
                new PartitionScheduler(
                        SchedulerSettings.defaults(),
                        mClock,
                        RandomSource.XO_SHI_RO_256_PP.create(seed));
        for (VmDescription vm : mModel.vms(workers)) {
            mScheduler.putVm(vm);
        }
        mScheduler.setQuotas(mModel.quotas(workers));
    }

    /** Places tasks until the given number runs or no more fit, then adds the backlog. */
    void fill(int tasks) {
        for (int i = 0; i < tasks; i++) {
            mScheduler.enqueue(mModel.task(mClock.monotonicNanos()));
        }
        note(mScheduler.schedule(Integer.MAX_VALUE));
    }

    /** Adds tasks of 30 shapes that find no room. */
    void addBacklog() {
        for (int i = 0; i < BACKLOG; i++) {
            mScheduler.enqueue(
                    new PendingTask(
                            new TaskId(new JobId("backlog" + i % 50), i),
                            1,
                            "team" + i % 50,
                            JobKind.BATCH,
                            "batch" + i % 30,
                            new Resources(60_000, 200_000 + i % 30, 8),
                            0,
                            false,
                            mClock.monotonicNanos()));
        }
        note(mScheduler.schedule(Integer.MAX_VALUE));
    }

    int running() {
        return mRunning.size();
    }

    /** Lets tasks end, submits as many, and decides; all three count as work of the scheduler. */
    void round(int tasks) {
        List<TaskId> ended = takeEnded(tasks);
        List<PendingTask> submitted = new ArrayList<>(tasks);
        mClock.advance(Duration.ofMillis(50));
        for (int i = 0; i < ended.size(); i++) {
            submitted.add(mModel.task(mClock.monotonicNanos()));
        }
        long start = System.nanoTime();
        ended.forEach(mScheduler::release);
        submitted.forEach(mScheduler::enqueue);
        List<SchedulingDecision> decisions = mScheduler.schedule(Integer.MAX_VALUE);
        mBusyNanos += System.nanoTime() - start;
        note(decisions);
        mDecisions += decisions.size();
    }

    /** Lets one task end and times the submission and decision of one. */
    void single(Histogram nanos) {
        takeEnded(1).forEach(mScheduler::release);
        mClock.advance(Duration.ofNanos(800_000));
        PendingTask task = mModel.task(mClock.monotonicNanos());
        long start = System.nanoTime();
        mScheduler.enqueue(task);
        List<SchedulingDecision> decisions = mScheduler.schedule(1);
        nanos.recordValue(System.nanoTime() - start);
        note(decisions);
    }

    private List<TaskId> takeEnded(int count) {
        List<TaskId> ended = new ArrayList<>(count);
        for (int i = 0; i < count && !mRunning.isEmpty(); i++) {
            int at = mModel.random().nextInt(mRunning.size());
            ended.add(mRunning.get(at));
            mRunning.set(at, mRunning.getLast());
            mRunning.removeLast();
        }
        return ended;
    }

    private void note(List<SchedulingDecision> decisions) {
        for (SchedulingDecision decision : decisions) {
            if (decision instanceof SchedulingDecision.Place place) {
                mRunning.add(place.task().id());
            }
        }
    }

    void resetTiming() {
        mBusyNanos = 0;
        mDecisions = 0;
    }

    double decisionsPerSecond() {
        return mDecisions / (mBusyNanos / 1e9);
    }
}
