package org.knapweedbank.jobs.owner;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Logs the progress of jobs with fillers once a second: how many jobs are in progress, how much
 * processor time their runs request and get, and what prevents the placement of waiting tasks. The
 * log line distinguishes a lack of capacity from a bad order of jobs.
 */
final class BatchProgressLogger {
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Maximum number of jobs whose waiting tasks are examined for one log line. */
    private static final int MAX_EXAMINED_JOBS = 100;

    private final OwnerState mState;
    private long mNextLogAt;

    BatchProgressLogger(OwnerState state) {
        mState = state;
    }

    /**
     * Logs a line if the interval has passed and there are unfinished jobs with fillers.
     *
     * @param vms VMs that may get start orders now
     * @param requirement gives what the fillers of a job require of a VM now
     */
    void logIfDue(
            Collection<Vm> vms, BiFunction<Job, Collection<Vm>, FillerRequirement> requirement) {
        if (mState.now() < mNextLogAt) {
            return;
        }
        List<Job> jobs = fillerJobs();
        if (!jobs.isEmpty()) {
            mNextLogAt = mState.now() + LOG_INTERVAL_MILLIS;
            record(jobs, countLimits(jobs, vms, requirement));
        }
    }

    private void record(List<Job> jobs, Map<PlacementLimit, Integer> limits) {
        List<Run> running =
                jobs.stream()
                        .flatMap(Job::tasks)
                        .filter(task -> task.mRun != null)
                        .filter(task -> task.mStep.mSpec.traits().filler())
                        .map(task -> task.mRun)
                        .toList();
        mState.mLog.record(
                "batch.progress",
                "owner",
                "jobs",
                jobs.size(),
                "jobs_started",
                jobs.stream().filter(job -> job.mStarted).count(),
                "jobs_running",
                running.stream().map(run -> run.mTask.mStep.mJob).distinct().count(),
                "runs",
                running.size(),
                "asked_cpu",
                running.stream().mapToLong(run -> run.mTask.mStep.mSpec.perTask().milliCpu()).sum(),
                "used_cpu",
                running.stream().mapToLong(Run::reportedMilliCpu).sum(),
                "used_core_ms",
                Math.round(jobs.stream().mapToDouble(job -> job.mUsedCoreMillis).sum()),
                "held_by",
                limits);
    }

    private List<Job> fillerJobs() {
        return mState.unfinishedJobs().stream()
                .filter(Job::stored)
                .filter(BatchProgressLogger::hasFillers)
                .toList();
    }

    private static boolean hasFillers(Job job) {
        return job.submission().steps().stream().anyMatch(step -> step.traits().filler());
    }

    /**
     * Counts ready steps with waiting tasks by what prevents the placement of their first waiting
     * task.
     */
    private Map<PlacementLimit, Integer> countLimits(
            List<Job> jobs,
            Collection<Vm> vms,
            BiFunction<Job, Collection<Vm>, FillerRequirement> requirement) {
        Map<PlacementLimit, Integer> counts = new EnumMap<>(PlacementLimit.class);
        jobs.stream()
                .limit(MAX_EXAMINED_JOBS)
                .flatMap(Job::steps)
                .filter(Step::hasReadyTasks)
                .flatMap(step -> step.mTasks.stream().filter(Task::waiting).limit(1))
                .forEach(
                        task -> {
                            FillerRequirement jobRequirement =
                                    requirement.apply(task.mStep.mJob, vms);
                            counts.merge(
                                    VmSelector.findLimit(
                                            task, vms, jobRequirement, mState.mPressureEstimator),
                                    1,
                                    Integer::sum);
                        });
        return counts;
    }
}
