package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Starts what is due and has room, the most urgent queue first. */
final class TaskPlacer {
    /**
     * Age of the last answer to an agent above which a start order would reach it with an outdated
     * permit.
     */
    private static final long ANSWER_AGE_MILLIS = 1_500;

    /** Part of the objective for which a filler waits for a VM with its whole demand to spare. */
    private static final int PATIENCE_DIVISOR = 4;

    /** Time without a running task after which a job takes any room for one. */
    private static final long LONGEST_IDLE_MILLIS = 1_500;

    /**
     * Reserved share of the VMs up to which an idle job takes any room. Above it, one crawling task
     * would only keep its job from room that becomes free soon.
     */
    private static final double ROOMY_SHARE = 0.6;

    private final OwnerState mState;
    private final AttemptTracker mAttempts;
    private final VmTracker mVms;
    private final FillerMover mMover;
    private final ServingConsolidator mConsolidator;
    private final BatchSurvey mSurvey;

    TaskPlacer(OwnerState state, AttemptTracker attempts, VmTracker vms) {
        mState = state;
        mAttempts = attempts;
        mVms = vms;
        mMover = new FillerMover(state, attempts);
        mConsolidator = new ServingConsolidator(state, attempts);
        mSurvey = new BatchSurvey(state);
    }

    void place() {
        if (!mayStart()) {
            return;
        }
        mMover.begin();
        boolean unresolved = mVms.unresolved();
        List<Vm> usable = mState.mVms.values().stream().filter(this::usable).toList();
        if (!unresolved) {
            mConsolidator.advance(usable);
        }
        Instant now = mState.mClock.wallTime();
        mState.mJobs.values().stream()
                .filter(job -> job.stored() && !job.finished())
                .filter(job -> !(job.mInherited && unresolved))
                .filter(job -> hasWaiting(job) || mMover.hasStarved(job))
                .map(job -> new Ranked(job, JobUrgency.of(job, now, mState.mRunTimes)))
                .sorted(Comparator.comparing(Ranked::urgency))
                .forEach(this::placeRanked);
        mSurvey.advance(usable, this::patience);
    }

    private void placeRanked(Ranked ranked) {
        recordRank(ranked.job(), ranked.urgency());
        placeJob(ranked.job());
    }

    /** Logs a change in what a job can still reach, with what has gone into the job so far. */
    private void recordRank(Job job, JobUrgency urgency) {
        JobUrgency before = job.mLoggedUrgency;
        job.mLoggedUrgency = urgency;
        if (before == null || before.missed() == urgency.missed()) {
            return;
        }
        mState.mLog.record(
                "job.rank",
                job.id().value(),
                "missed",
                urgency.missed(),
                "before",
                before.missed(),
                "due",
                urgency.due(),
                "done_tasks",
                job.tasks().filter(task -> task.mDone).count(),
                "tasks",
                job.tasks().count(),
                "used_core_ms",
                Math.round(job.mUsedCoreMillis));
    }

    /** Tells whether the owner's knowledge is fresh enough to start anything. */
    private boolean mayStart() {
        long age = mState.now() - mState.mViewAt;
        return mState.confirmed() && age <= mState.mSettings.viewAge().toMillis();
    }

    private static boolean hasWaiting(Job job) {
        return job.mOccurrences.stream()
                .flatMap(o -> o.mSteps.stream())
                .anyMatch(step -> step.mWaiting > 0 && step.ready());
    }

    private void placeJob(Job job) {
        List<Vm> vms = mState.mVms.values().stream().filter(vm -> accepts(vm, job)).toList();
        if (vms.isEmpty()) {
            return;
        }
        noteBusy(job);
        job.mOccurrences.stream()
                .filter(o -> due(job, o))
                .flatMap(o -> o.mSteps.stream())
                .filter(step -> step.mWaiting > 0 && step.ready())
                .forEach(step -> placeStep(step, vms));
        mMover.move(job, vms);
    }

    private boolean due(Job job, Occurrence occurrence) {
        var timetable = job.submission().timetable();
        return !timetable.timed()
                || !mState.mClock.wallTime().isBefore(timetable.due(occurrence.mNumber));
    }

    private boolean accepts(Vm vm, Job job) {
        return usable(vm) && vm.mWorker.service().equals(job.queue().service());
    }

    private boolean usable(Vm vm) {
        return vm.mConnected
                && vm.mWorker != null
                && vm.mRegistered
                && !vm.mWorker.draining()
                && vm.mForeign.isEmpty()
                && !mState.mEvacuated.contains(vm.mDataCentre)
                && mState.now() - vm.mAnsweredAt <= ANSWER_AGE_MILLIS
                && mState.now() >= vm.mPausedUntil
                && !vm.mHealth.suspended(mState.now());
    }

    private void noteBusy(Job job) {
        boolean idle = job.tasks().allMatch(task -> task.mAttempt == null);
        if (!idle || job.mBusyAt < 0) {
            job.mBusyAt = mState.now();
        }
    }

    /** How long fillers of a job may still wait for room that serves them well. */
    private FillerPatience patience(Job job, Collection<Vm> vms) {
        if (mState.now() - job.mBusyAt > LONGEST_IDLE_MILLIS && roomy(vms)) {
            return FillerPatience.CRAWL;
        }
        Instant accepted = job.accepted();
        Duration objective = JobUrgency.objective(job, mState.mRunTimes);
        Instant limit = accepted.plus(objective.dividedBy(PATIENCE_DIVISOR));
        return mState.mClock.wallTime().isBefore(limit)
                ? FillerPatience.FULL_PACE
                : FillerPatience.SLOW;
    }

    /** Tells whether a good part of the VMs is not reserved. */
    private static boolean roomy(Collection<Vm> vms) {
        long reserved = vms.stream().mapToLong(vm -> vm.mReserved.milliCpu()).sum();
        long capacity = vms.stream().mapToLong(vm -> vm.mWorker.capacity().milliCpu()).sum();
        return reserved <= capacity * ROOMY_SHARE;
    }

    private void placeStep(Step step, List<Vm> vms) {
        FillerPatience patience = patience(step.mJob, vms);
        for (Task task : step.mTasks) {
            if (!task.waiting() || mState.now() < task.mNotBefore) {
                continue;
            }
            Optional<Vm> vm = VmSelector.select(task, vms, patience, mState.mPressure);
            if (vm.isEmpty()) {
                return;
            }
            mAttempts.start(task, vm.get());
            if (patience == FillerPatience.CRAWL) {
                return;
            }
        }
    }

    private record Ranked(Job job, JobUrgency urgency) {}
}
