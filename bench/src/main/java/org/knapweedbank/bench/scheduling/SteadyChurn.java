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

/** Scheduler under constant load: tasks end and as many new ones are submitted. */
final class SteadyChurn {
    /** Number of tasks that remain pending because no VM has eight free accelerators. */
    private static final int BACKLOG_TASKS = 500;

    private final FleetModel mFleet;
    private final ManualClock mClock = new ManualClock();
    private final PartitionScheduler mScheduler;
    private final List<TaskId> mRunning = new ArrayList<>();

    /** Time spent in the scheduler since the last reset. */
    private long mSchedulerNanos;

    /** Number of decisions since the last reset. */
    private long mDecisionCount;

    /**
     * Creates a scheduler for a fleet without tasks.
     *
     * @param seed seed of the fleet, the tasks and the scheduler
     * @param workers number of VMs
     */
    SteadyChurn(long seed, int workers) {
        mFleet = new FleetModel(seed);
        mScheduler =
                new PartitionScheduler(
                        SchedulerSettings.defaults(),
                        mClock,
                        RandomSource.XO_SHI_RO_256_PP.create(seed));
        for (VmDescription vm : mFleet.createVms(workers)) {
            mScheduler.putVm(vm);
        }
        mScheduler.setQuotas(mFleet.createQuotas(workers));
    }

    /**
     * Submits tasks and places as many of them as fit.
     *
     * @param tasks number of tasks to submit
     */
    void fill(int tasks) {
        for (int i = 0; i < tasks; i++) {
            mScheduler.enqueue(mFleet.nextTask(mClock.monotonicNanos()));
        }
        recordPlacements(mScheduler.schedule(Integer.MAX_VALUE));
    }

    /** Submits tasks with 30 different requests that fit on no VM of a loaded fleet. */
    void addBacklog() {
        for (int i = 0; i < BACKLOG_TASKS; i++) {
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
        recordPlacements(mScheduler.schedule(Integer.MAX_VALUE));
    }

    /** Returns the number of tasks that have been placed and not ended. */
    int runningTasks() {
        return mRunning.size();
    }

    /**
     * Ends tasks, submits as many and schedules. The time of all three scheduler calls counts as
     * scheduler time.
     *
     * @param tasks number of tasks that end
     */
    void runRound(int tasks) {
        List<TaskId> endedTasks = removeRandomRunning(tasks);
        List<PendingTask> submitted = new ArrayList<>(tasks);
        mClock.advance(Duration.ofMillis(50));
        for (int i = 0; i < endedTasks.size(); i++) {
            submitted.add(mFleet.nextTask(mClock.monotonicNanos()));
        }
        long start = System.nanoTime();
        endedTasks.forEach(mScheduler::release);
        submitted.forEach(mScheduler::enqueue);
        List<SchedulingDecision> decisions = mScheduler.schedule(Integer.MAX_VALUE);
        mSchedulerNanos += System.nanoTime() - start;
        recordPlacements(decisions);
        mDecisionCount += decisions.size();
    }

    /**
     * Ends one task, then measures the submission and the placement of another.
     *
     * @param nanos receives the measured time
     */
    void timeSingleDecision(Histogram nanos) {
        removeRandomRunning(1).forEach(mScheduler::release);
        mClock.advance(Duration.ofNanos(800_000));
        PendingTask task = mFleet.nextTask(mClock.monotonicNanos());
        long start = System.nanoTime();
        mScheduler.enqueue(task);
        List<SchedulingDecision> decisions = mScheduler.schedule(1);
        nanos.recordValue(System.nanoTime() - start);
        recordPlacements(decisions);
    }

    /** Removes up to the given number of random tasks from the running ones and returns them. */
    private List<TaskId> removeRandomRunning(int count) {
        List<TaskId> endedTasks = new ArrayList<>(count);
        for (int i = 0; i < count && !mRunning.isEmpty(); i++) {
            int index = mFleet.random().nextInt(mRunning.size());
            endedTasks.add(mRunning.get(index));
            mRunning.set(index, mRunning.getLast());
            mRunning.removeLast();
        }
        return endedTasks;
    }

    private void recordPlacements(List<SchedulingDecision> decisions) {
        for (SchedulingDecision decision : decisions) {
            if (decision instanceof SchedulingDecision.Place place) {
                mRunning.add(place.task().id());
            }
        }
    }

    /** Resets the time and the number of decisions, at the end of the warm-up. */
    void resetTiming() {
        mSchedulerNanos = 0;
        mDecisionCount = 0;
    }

    /** Returns the decisions for each second of scheduler time since the last reset. */
    double decisionsPerSecond() {
        return mDecisionCount / (mSchedulerNanos / 1e9);
    }
}
