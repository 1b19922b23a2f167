package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;

/** Tracks the runs of tasks from their start order until they end. */
final class RunTracker {
    /**
     * Range of run numbers per term. Numbers of a term start above those of all earlier terms, so
     * that run numbers rise across takeovers without being stored.
     */
    private static final long RUNS_PER_TERM = 1L << 20;

    /**
     * Base of the backoff before a failed task is restarted, in milliseconds; doubled once per
     * failed run.
     */
    private static final long RETRY_BACKOFF_MILLIS = 50;

    /**
     * Limit of the doublings. A long-running task keeps only this many failed runs, as more do not
     * change its backoff.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /**
     * Time for which a VM keeps room for a task that moves to it, in milliseconds. Stopping the
     * task and reporting its end take less.
     */
    private static final long MOVE_CLAIM_MILLIS = 2_000;

    private final OwnerState mState;

    RunTracker(OwnerState state) {
        mState = state;
    }

    /**
     * Sends the start order for the next run of a task.
     *
     * @throws RuntimeException if the order can't be created or sent; the task then has no run
     */
    void start(Task task, Vm vm) {
        long runNumber = Math.max(task.mLastRunNumber, (mState.mTerm - 1) * RUNS_PER_TERM) + 1;
        Run run = createRun(task, vm, runNumber);
        try {
            sendStart(run);
        } catch (RuntimeException e) {
            release(run);
            throw e;
        }
    }

    private void sendStart(Run run) {
        Task task = run.mTask;
        Vm vm = run.mVm;
        vm.mHealth.recordStart(task);
        if (task.mMeasuredPercent < 0 && task.mCheckpoint.isEmpty()) {
            task.mMeasuredPercent = 0;
        }
        mState.mLog.record(
                "task.order",
                task.mName,
                "run",
                run.mNumber,
                "vm",
                vm.mAgent.value(),
                "spare_cpu",
                vm.spareMilliCpu(),
                "serving_cpu",
                vm.mServingMilliCpu,
                "utilization",
                vm.maxServingUtilization());
        mState.mOutput.start(vm.mAgent, createStartOrder(task, run));
    }

    /** Starts tracking a run that a worker lists and that this owner did not order. */
    Run adopt(Task task, Vm vm, long runNumber) {
        Run run = createRun(task, vm, runNumber);
        run.mAdopted = true;
        mState.mLog.record("task.adopt", task.mName, "run", runNumber, "vm", vm.mAgent.value());
        return run;
    }

    /**
     * Handles the outcome of a start order; outcomes of runs that are no longer current are
     * ignored.
     */
    void handleStartOutcome(Vm vm, TaskName name, long runNumber, StartOutcome outcome) {
        Task task = mState.findTask(name);
        Run run = task == null ? null : task.mRun;
        if (run == null || run.mVm != vm || run.mNumber != runNumber) {
            return;
        }
        switch (outcome) {
            case STARTED -> {
                confirmStart(run);
                run.recordShown(mState.now());
            }
            case REFUSED, NOT_PERMITTED -> {
                vm.mRefusals.record(run);
                release(run);
            }
            case NOT_STARTED -> release(run);
        }
        if (outcome != StartOutcome.STARTED) {
            task.mRefusals.record(vm.mAgent, outcome, mState.now());
            mState.mLog.record("task.not_started", name, "run", runNumber, "outcome", outcome);
        }
    }

    /** Records that the worker has started a run. */
    void confirmStart(Run run) {
        if (!run.mStartConfirmed) {
            run.mStartConfirmed = true;
            run.mTask.mRefusals.clear();
            run.mVm.mRefusals.recordStart();
        }
        run.mTask.mStep.mJob.mStarted = true;
    }

    /**
     * Removes a run from its VM. Unless the task is done, it waits for its next run. If the run has
     * not started, the task has waited since before its order.
     */
    void release(Run run) {
        Task task = run.mTask;
        run.mVm.remove(run);
        if (task.mRun == run) {
            task.mRun = null;
            if (run.mStartConfirmed) {
                task.mWaitingSince = mState.now();
            }
            if (!task.mDone) {
                task.mStep.mWaitingTasks++;
            }
        }
    }

    /** Releases all runs of a VM whose worker no longer exists or whose leases have expired. */
    void releaseAll(Vm vm, String reason) {
        List.copyOf(vm.mRuns.values())
                .forEach(
                        run -> {
                            logRelease("task.lost", run, "reason", reason);
                            saveCheckpoint(run.mTask, run.mCheckpoint);
                            release(run);
                        });
        vm.mUnwantedTasks.clear();
    }

    /** Releases a run that its VM no longer lists. */
    void releaseAbsent(Run run) {
        logRelease("task.absent", run);
        release(run);
    }

    /**
     * Releases a run that its worker does not run any more, although its end is not known. The run
     * of a batch task is kept, as it may have completed the task; no run completes a long-running
     * one. Returns whether the run is not tracked any more.
     */
    boolean releaseMissing(Vm vm, RunStatus missing) {
        Task task = mState.findTask(missing.task());
        if (task == null) {
            return true;
        }
        if (!task.mStep.mSpec.traits().longRunning()) {
            return false;
        }
        if (task.mRun != null && task.mRun.mVm == vm && task.mRun.mNumber == missing.run()) {
            releaseAbsent(task.mRun);
        }
        return true;
    }

    /** Logs that a run is given up without its end. */
    private void logRelease(String event, Run run, Object... more) {
        List<Object> fields =
                new ArrayList<>(
                        List.of(
                                "run",
                                run.mNumber,
                                "vm",
                                run.mVm.mAgent.value(),
                                "worker",
                                run.mVm.mWorker.id(),
                                "confirmed",
                                run.mStartConfirmed,
                                "ordered_ms_ago",
                                mState.now() - run.mOrderedAt));
        fields.addAll(List.of(more));
        mState.mLog.record(event, run.mTask.mName, fields.toArray());
    }

    /**
     * Sends a stop order for a run. Its resources stay reserved until the worker reports its end.
     */
    void stop(Run run, String reason) {
        if (!run.mStopping) {
            run.recordStop(mState.now());
            mState.mLog.record("task.stop", run.mTask.mName, "run", run.mNumber, "reason", reason);
        }
        mState.mOutput.stop(run.mVm.mAgent, run.mTask.mName, run.mNumber);
    }

    /** Stops a run so that its task restarts on another VM, which keeps room for it. */
    void move(Run run, Vm target, String reason) {
        target.claimRoom(run.mTask, mState.now() + MOVE_CLAIM_MILLIS);
        run.mTask.mMoves++;
        stop(run, reason);
    }

    /**
     * Handles the end of a run. The end is acknowledged once the change to the job that it causes
     * is stored.
     */
    void handleEnd(Vm vm, EndedRun end) {
        if (end.number() <= vm.mLastEndNumber) {
            return;
        }
        vm.mLastEndNumber = end.number();
        vm.mUnwantedTasks.remove(end.task());
        Task task = mState.findTask(end.task());
        if (task == null) {
            mState.mLog.record("task.end_unknown", end.task(), "vm", vm.mAgent.value());
            vm.acknowledgeOnceStored(end.number(), null);
            return;
        }
        Job job = task.mStep.mJob;
        long previousVersion = job.version();
        job.mStarted = true;
        Run run = task.mRun;
        boolean current = run != null && run.mVm == vm && run.mNumber <= end.run();
        if (current) {
            if (end.kind() == EndKind.FAILED) {
                confirmStart(run);
            }
            release(run);
            if (end.kind() == EndKind.DONE && run.mNumber == end.run()) {
                observeRunTime(run);
            }
        }
        mState.mLog.record(
                "task.end",
                task.mName,
                "run",
                end.run(),
                "how",
                end.kind(),
                "vm",
                vm.mAgent.value());
        if (!job.finished() || end.kind() == EndKind.DONE) {
            applyEnd(vm, task, end, current ? run : null);
        }
        vm.acknowledgeOnceStored(end.number(), job.version() == previousVersion ? null : job);
    }

    /**
     * Records the run time of a task that completed in one run. A run that resumed from a
     * checkpoint did only a part of the work and is left out.
     */
    private void observeRunTime(Run run) {
        Task task = run.mTask;
        Step step = task.mStep;
        if (step.mSpec.traits().longRunning() || !task.mCheckpoint.isEmpty()) {
            return;
        }
        double millis = run.fullSpeedMillis(mState.now());
        double expected = step.expectedRunMillis(mState.mRunTimeEstimator);
        countRunTimeError(millis, expected);
        if (mState.reservesRoom() && !run.mAdopted) {
            mState.mRunTimeAccuracy.observe(step.mJob.queue().key(), millis, expected);
        }
        step.observeRunTime(millis);
        mState.mRunTimeEstimator.observe(
                step.mJob.queue().key(),
                step.mSpec.estimate().toMillis(),
                millis,
                1.0 / step.mSpec.count());
    }

    /** Counts by how much a run took longer or shorter than was expected at its end. */
    private void countRunTimeError(double millis, double expected) {
        if (expected > 0) {
            mState.mLog.count(
                    "run_time_error_millis",
                    millis > expected ? "late" : "early",
                    Math.round(Math.abs(millis - expected)));
        }
    }

    /**
     * Applies the end of a run to its task and job.
     *
     * @param run the run; null if it was not tracked any more
     */
    private void applyEnd(Vm vm, Task task, EndedRun end, Run run) {
        switch (end.kind()) {
            case DONE -> handleDone(vm, task, run);
            case FAILED -> handleFailure(vm, task, end, run);
            case STOPPED, LAPSED, BROKEN, ALONE -> {}
        }
        saveCheckpoint(task, end.checkpoint());
    }

    private void handleDone(Vm vm, Task task, Run run) {
        if (run != null && vm.mHealth.recordWork(run, true)) {
            logRecovery(vm, task);
        }
        Step step = task.mStep;
        if (step.mSpec.traits().longRunning() || task.mDone) {
            return;
        }
        task.mDone = true;
        mState.mOnTaskDone.accept(task);
        step.mDoneTasks++;
        if (task.mRun == null) {
            step.mWaitingTasks--;
        } else {
            stop(task.mRun, "task was completed by another run");
        }
        Job job = step.mJob;
        if (!job.finished() && job.complete()) {
            job.finish(mState.now());
            logCompletion(job);
        } else {
            job.markChanged();
        }
    }

    /** Logs that the run of a task has ended the suspicion against its VM. */
    void logRecovery(Vm vm, Task task) {
        mState.mLog.record("vm.recovered", vm.mAgent.value(), "task", task.mName);
    }

    private void logCompletion(Job job) {
        long elapsed = Duration.between(job.accepted(), mState.mClock.wallTime()).toMillis();
        mState.mLog.record(
                "job.completed",
                job.id().value(),
                "elapsed_ms",
                elapsed,
                "objective_ms",
                JobUrgency.objective(job, mState.mRunTimeEstimator).toMillis(),
                "used_core_ms",
                Math.round(job.mUsedCoreMillis));
    }

    /** Returns whether a batch task has failed or stalled on another VM before. */
    private static boolean mayBeFaulty(Task task, Vm vm) {
        return !task.mStep.mSpec.traits().longRunning()
                && task.mAvoidedVms.stream().anyMatch(agent -> !agent.equals(vm.mAgent));
    }

    private void handleFailure(Vm vm, Task task, EndedRun end, Run run) {
        Job job = task.mStep.mJob;
        if (task.mDone || !task.mFailedRuns.add(end.run())) {
            return;
        }
        boolean jobSuspected = mayBeFaulty(task, vm);
        task.mAvoidedVms.add(vm.mAgent);
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, task.mFailedRuns.count());
        task.mEarliestStartAt = mState.now() + (RETRY_BACKOFF_MILLIS << doublings);
        long runMillis = run == null ? 0 : mState.now() - run.mOrderedAt;
        if (vm.mHealth.recordFailure(job.id(), runMillis, jobSuspected)) {
            mState.mLog.record(
                    "vm.suspended",
                    vm.mAgent.value(),
                    "cause",
                    "consecutive failures of different jobs");
        }
        if (task.mStep.mSpec.traits().longRunning()) {
            task.mFailedRuns.keepNewest(MAX_BACKOFF_DOUBLINGS);
            return;
        }
        if (task.mFailedRuns.count() >= job.queue().maxAttempts()) {
            job.mFailed = true;
            job.finish(mState.now());
            mState.mLog.record(
                    "job.failed",
                    job.id().value(),
                    "task",
                    task.mName,
                    "tries",
                    task.mFailedRuns.count());
            stopAll(job, "job failed");
        } else {
            job.markChanged();
        }
    }

    /** Sends a stop order for each run of a job. */
    void stopAll(Job job, String reason) {
        job.tasks().filter(t -> t.mRun != null).forEach(t -> stop(t.mRun, reason));
    }

    private void saveCheckpoint(Task task, String checkpoint) {
        if (!checkpoint.isEmpty() && !task.mDone && !checkpoint.equals(task.mCheckpoint)) {
            task.mCheckpoint = checkpoint;
            task.mStep.mJob.markChanged();
        }
    }

    private Run createRun(Task task, Vm vm, long runNumber) {
        Run run = new Run(task, vm, runNumber, mState.now());
        task.mLastRunNumber = Math.max(runNumber, task.mLastRunNumber);
        task.mRun = run;
        if (!task.mDone) {
            task.mStep.mWaitingTasks--;
        }
        vm.add(run);
        return run;
    }

    private StartOrder createStartOrder(Task task, Run run) {
        RunProfile profile = mState.runProfile(run);
        run.mReportedRank = profile.rank();
        return new StartOrder(
                task.mName,
                run.mNumber,
                task.mStep.mJob.submission().spec(),
                task.mCheckpoint,
                profile);
    }
}
