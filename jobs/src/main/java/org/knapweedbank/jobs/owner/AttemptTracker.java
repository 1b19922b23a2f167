package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;

/** Follows the runs of tasks from their order to their end. */
final class AttemptTracker {
    /**
     * Runs that one term may number. A term starts above all numbers of earlier terms, so that runs
     * rise over takeovers without being stored.
     */
    private static final long RUNS_PER_TERM = 1L << 20;

    /** Pause before a task that failed is started again, doubled with each failure. */
    private static final long RETRY_PAUSE_MILLIS = 50;

    private static final int RETRY_PAUSE_DOUBLINGS = 4;

    /** How long a VM keeps room for a task that moves there; a stop and its report take less. */
    private static final long MOVE_MILLIS = 2_000;

    /** Pause of a VM that refused a start for want of room or because it is unhealthy. */
    private static final long REFUSAL_PAUSE_MILLIS = 250;

    private final OwnerState mState;

    AttemptTracker(OwnerState state) {
        mState = state;
    }

    /** Orders the next run of a task on a VM. */
    void start(Task task, Vm vm) {
        long run = Math.max(task.mLastRun, (mState.mTerm - 1) * RUNS_PER_TERM) + 1;
        Attempt attempt = begin(task, vm, run);
        mState.mLog.record(
                "task.order",
                task.mName,
                "run",
                run,
                "vm",
                vm.mAgent.value(),
                "spare_cpu",
                vm.spareCpu(),
                "serving_cpu",
                vm.mServingCpu,
                "utilization",
                vm.servingUtilization());
        mState.mOutput.start(vm.mAgent, order(task, attempt));
    }

    /** Takes over a run that a worker lists and that this owner did not order. */
    Attempt adopt(Task task, Vm vm, long run) {
        Attempt attempt = begin(task, vm, run);
        mState.mLog.record("task.adopt", task.mName, "run", run, "vm", vm.mAgent.value());
        return attempt;
    }

    void outcome(Vm vm, TaskName name, long run, StartOutcome outcome) {
        Task task = mState.task(name);
        Attempt attempt = task == null ? null : task.mAttempt;
        if (attempt == null || attempt.mVm != vm || attempt.mRun != run) {
            return;
        }
        switch (outcome) {
            case STARTED -> confirm(attempt);
            case REFUSED -> {
                vm.mPausedUntil = mState.now() + REFUSAL_PAUSE_MILLIS;
                release(attempt);
            }
            case NOT_STARTED, NOT_PERMITTED -> release(attempt);
        }
        if (outcome != StartOutcome.STARTED) {
            mState.mLog.record("task.not_started", name, "run", run, "outcome", outcome);
        }
    }

    void confirm(Attempt attempt) {
        attempt.mConfirmed = true;
        attempt.mTask.mStep.mJob.mStarted = true;
    }

    /** Ends an attempt without an end listed by the worker; the task waits again. */
    void release(Attempt attempt) {
        Task task = attempt.mTask;
        attempt.mVm.remove(attempt);
        if (task.mAttempt == attempt) {
            task.mAttempt = null;
            if (!task.mDone) {
                task.mStep.mWaiting++;
            }
        }
    }

    /** Ends the attempts of a VM whose worker no longer exists or whose lease has run out. */
    void lost(Vm vm, String reason) {
        List.copyOf(vm.mAttempts.values())
                .forEach(
                        attempt -> {
                            Task task = attempt.mTask;
                            mState.mLog.record(
                                    "task.lost",
                                    task.mName,
                                    "run",
                                    attempt.mRun,
                                    "vm",
                                    vm.mAgent.value(),
                                    "reason",
                                    reason);
                            keepCheckpoint(task, attempt.mCheckpoint);
                            release(attempt);
                        });
        vm.mForeign.clear();
    }

    /** Orders the end of an attempt; its room stays taken until the end is listed. */
    void stop(Attempt attempt, String reason) {
        if (!attempt.mStopping) {
            attempt.mStopping = true;
            mState.mLog.record(
                    "task.stop", attempt.mTask.mName, "run", attempt.mRun, "reason", reason);
        }
        mState.mOutput.stop(attempt.mVm.mAgent, attempt.mTask.mName, attempt.mRun);
    }

    /** Stops an attempt so that its task runs on another VM, which keeps room for it. */
    void move(Attempt attempt, Vm target, String reason) {
        target.claim(attempt.mTask, mState.now() + MOVE_MILLIS);
        attempt.mTask.mMoves++;
        stop(attempt, reason);
    }

    /** Takes note of an end; it is acknowledged once the change that it causes is stored. */
    void ended(Vm vm, EndedTask end) {
        if (end.number() <= vm.mLastEnd) {
            return;
        }
        vm.mLastEnd = end.number();
        vm.mForeign.remove(end.task());
        Task task = mState.task(end.task());
        if (task == null) {
            mState.mLog.record("task.end_unknown", end.task(), "vm", vm.mAgent.value());
            vm.awaitStored(end.number(), null);
            return;
        }
        Job job = task.mStep.mJob;
        long before = job.version();
        job.mStarted = true;
        Attempt attempt = task.mAttempt;
        if (attempt != null && attempt.mVm == vm && attempt.mRun <= end.run()) {
            release(attempt);
            if (end.how() == EndKind.DONE && attempt.mRun == end.run()) {
                learnRunTime(attempt);
            }
        }
        mState.mLog.record(
                "task.end",
                task.mName,
                "run",
                end.run(),
                "how",
                end.how(),
                "vm",
                vm.mAgent.value());
        if (!job.finished() || end.how() == EndKind.DONE) {
            apply(vm, task, end);
        }
        vm.awaitStored(end.number(), job.version() == before ? null : job);
    }

    /** Learns from a task that was done in one run; others have done a part of it before. */
    private void learnRunTime(Attempt attempt) {
        Task task = attempt.mTask;
        Step step = task.mStep;
        if (step.mSpec.traits().longRunning() || !task.mCheckpoint.isEmpty()) {
            return;
        }
        double millis = attempt.fullPaceMillis(mState.now());
        step.observe(millis);
        mState.mRunTimes.observe(
                step.mJob.queue().key(),
                step.mSpec.estimate().toMillis(),
                millis,
                1.0 / step.mSpec.count());
    }

    private void apply(Vm vm, Task task, EndedTask end) {
        switch (end.how()) {
            case DONE -> done(vm, task);
            case FAILED -> failed(vm, task, end);
            case STOPPED, LAPSED, BROKEN, ALONE -> {}
        }
        keepCheckpoint(task, end.checkpoint());
    }

    private void done(Vm vm, Task task) {
        vm.mHealth.succeeded();
        Step step = task.mStep;
        if (step.mSpec.traits().longRunning() || task.mDone) {
            return;
        }
        task.mDone = true;
        step.mDone++;
        if (task.mAttempt == null) {
            step.mWaiting--;
        } else {
            stop(task.mAttempt, "task is done");
        }
        Job job = step.mJob;
        if (!job.finished() && job.complete()) {
            job.finish(mState.now());
            recordCompleted(job);
        } else {
            job.changed();
        }
    }

    private void recordCompleted(Job job) {
        long elapsed = Duration.between(job.accepted(), mState.mClock.wallTime()).toMillis();
        mState.mLog.record(
                "job.completed",
                job.id().value(),
                "elapsed_ms",
                elapsed,
                "objective_ms",
                JobUrgency.objective(job, mState.mRunTimes).toMillis(),
                "used_core_ms",
                Math.round(job.mUsedCoreMillis));
    }

    private void failed(Vm vm, Task task, EndedTask end) {
        Job job = task.mStep.mJob;
        if (task.mDone || !task.mFailures.add(end.run())) {
            return;
        }
        task.mFailedOn.add(vm.mAgent);
        int doublings = Math.min(RETRY_PAUSE_DOUBLINGS, task.mFailures.count());
        task.mNotBefore = mState.now() + (RETRY_PAUSE_MILLIS << doublings);
        if (vm.mHealth.failed(job.id(), mState.now())) {
            mState.mLog.record("vm.suspended", vm.mAgent.value(), "cause", "failures in a row");
        }
        if (task.mStep.mSpec.traits().longRunning()) {
            task.mFailures.keepNewest(RETRY_PAUSE_DOUBLINGS);
            return;
        }
        if (task.mFailures.count() >= job.queue().maxAttempts()) {
            job.mFailed = true;
            job.finish(mState.now());
            mState.mLog.record(
                    "job.failed",
                    job.id().value(),
                    "task",
                    task.mName,
                    "tries",
                    task.mFailures.count());
            stopAll(job, "job has failed");
        } else {
            job.changed();
        }
    }

    void stopAll(Job job, String reason) {
        job.tasks().filter(t -> t.mAttempt != null).forEach(t -> stop(t.mAttempt, reason));
    }

    private void keepCheckpoint(Task task, String checkpoint) {
        if (!checkpoint.isEmpty() && !task.mDone && !checkpoint.equals(task.mCheckpoint)) {
            task.mCheckpoint = checkpoint;
            task.mStep.mJob.changed();
        }
    }

    private Attempt begin(Task task, Vm vm, long run) {
        Attempt attempt = new Attempt(task, vm, run, mState.now());
        task.mLastRun = Math.max(run, task.mLastRun);
        task.mAttempt = attempt;
        if (!task.mDone) {
            task.mStep.mWaiting--;
        }
        vm.add(attempt);
        return attempt;
    }

    private StartOrder order(Task task, Attempt attempt) {
        RunProfile profile = mState.profile(attempt);
        attempt.mRank = profile.rank();
        return new StartOrder(
                task.mName,
                attempt.mRun,
                task.mStep.mJob.submission().spec(),
                task.mCheckpoint,
                profile);
    }
}
