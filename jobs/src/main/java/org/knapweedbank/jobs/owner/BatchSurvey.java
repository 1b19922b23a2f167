package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Logs once a second how fillers fare: how many jobs are in progress, what their runs ask for and
 * get, and what holds the waiting ones back. These figures tell too little room from a bad order of
 * jobs.
 */
final class BatchSurvey {
    private static final long PERIOD_MILLIS = 1_000;

    /** Waiting jobs that are looked at for one line. */
    private static final int MAX_JOBS = 100;

    private final OwnerState mState;
    private long mNext;

    BatchSurvey(OwnerState state) {
        mState = state;
    }

    /**
     * Logs if it is time to.
     *
     * @param vms VMs that take orders
     * @param patience what fillers of a job demand of a VM now
     */
    void advance(Collection<Vm> vms, BiFunction<Job, Collection<Vm>, FillerPatience> patience) {
        if (mState.now() < mNext) {
            return;
        }
        List<Job> jobs = fillerJobs();
        if (!jobs.isEmpty()) {
            mNext = mState.now() + PERIOD_MILLIS;
            record(jobs, limits(jobs, vms, patience));
        }
    }

    private void record(List<Job> jobs, Map<PlacementLimit, Integer> limits) {
        List<Attempt> running =
                jobs.stream()
                        .flatMap(Job::tasks)
                        .filter(task -> task.mAttempt != null)
                        .filter(task -> task.mStep.mSpec.traits().filler())
                        .map(task -> task.mAttempt)
                        .toList();
        mState.mLog.record(
                "batch.progress",
                "owner",
                "jobs",
                jobs.size(),
                "jobs_started",
                jobs.stream().filter(job -> job.mStarted).count(),
                "jobs_running",
                running.stream().map(attempt -> attempt.mTask.mStep.mJob).distinct().count(),
                "runs",
                running.size(),
                "asked_cpu",
                running.stream().mapToLong(a -> a.mTask.mStep.mSpec.perTask().milliCpu()).sum(),
                "used_cpu",
                running.stream().mapToLong(Attempt::figure).sum(),
                "used_core_ms",
                Math.round(jobs.stream().mapToDouble(job -> job.mUsedCoreMillis).sum()),
                "held_by",
                limits);
    }

    private List<Job> fillerJobs() {
        return mState.mJobs.values().stream()
                .filter(job -> job.stored() && !job.finished())
                .filter(BatchSurvey::hasFillers)
                .toList();
    }

    private static boolean hasFillers(Job job) {
        return job.submission().steps().stream().anyMatch(step -> step.traits().filler());
    }

    /** Counts ready steps with waiting tasks by what holds them back. */
    private Map<PlacementLimit, Integer> limits(
            List<Job> jobs,
            Collection<Vm> vms,
            BiFunction<Job, Collection<Vm>, FillerPatience> patience) {
        Map<PlacementLimit, Integer> counts = new EnumMap<>(PlacementLimit.class);
        jobs.stream()
                .limit(MAX_JOBS)
                .flatMap(job -> job.mOccurrences.stream())
                .flatMap(occurrence -> occurrence.mSteps.stream())
                .filter(step -> step.mWaiting > 0 && step.ready())
                .flatMap(step -> step.mTasks.stream().filter(Task::waiting).limit(1))
                .forEach(
                        task -> {
                            FillerPatience demand = patience.apply(task.mStep.mJob, vms);
                            counts.merge(
                                    VmSelector.limit(task, vms, demand, mState.mPressure),
                                    1,
                                    Integer::sum);
                        });
        return counts;
    }
}
