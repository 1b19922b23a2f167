package org.knapweedbank.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;

/** Submits, resizes, cancels, explains and retires the jobs of a partition. */
final class JobControl {
    private static final Logger LOG = LogManager.getLogger(JobControl.class);

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final TaskStarter mStarter;

    JobControl(PartitionContext context, AttemptControl attempts, TaskStarter starter) {
        mContext = context;
        mAttempts = attempts;
        mStarter = starter;
    }

    /**
     * Submits the jobs that the configuration lists, resizes listed services, and cancels services
     * that are no longer listed.
     */
    void applyConfiguration(SiteConfiguration configuration) {
        int partition = mContext.partition();
        List<JobSpec> ownJobs =
                configuration.jobs().stream()
                        .filter(spec -> Partitions.ofJob(configuration, spec.id()) == partition)
                        .toList();
        ownJobs.forEach(this::submitConfigured);
        Set<JobId> listed = ownJobs.stream().map(JobSpec::id).collect(Collectors.toSet());
        List.copyOf(mContext.state().jobs()).stream()
                .filter(job -> job.isFromConfiguration() && job.isService())
                .filter(job -> !job.isCancelled() && !listed.contains(job.id()))
                .forEach(job -> cancel(job.id(), result -> {}));
    }

    private void submitConfigured(JobSpec spec) {
        Optional<JobEntry> existing = mContext.state().job(spec.id());
        if (existing.isEmpty()) {
            submit(spec, true, result -> {});
        } else if (existing.get().isService() && existing.get().spec().tasks() != spec.tasks()) {
            resize(existing.get(), spec.tasks());
        } else if (!existing.get().spec().equals(spec)) {
            LOG.warn(
                    "[control] job {} differs from the configuration; submit it under a new id",
                    spec.id());
        }
    }

    private void resize(JobEntry job, int tasks) {
        boolean accepted =
                mContext.append(
                        new JournalRecord.JobResized(job.id(), tasks),
                        () -> {
                            enqueuePending(job);
                            stopCancelledTasks(job);
                        });
        if (accepted) {
            cancelUnsentTasks(job);
        }
    }

    void submit(JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        Optional<JobEntry> existing = mContext.state().job(spec.id());
        if (existing.isPresent()) {
            reply.accept(repeatedSubmissionResult(existing.get(), spec));
            return;
        }
        if (!isKnownTeam(spec.team())) {
            reply.accept(new JobResult.Refused<>("no team has the name " + spec.team()));
            return;
        }
        boolean accepted =
                mContext.append(
                        new JournalRecord.JobSubmitted(
                                spec, fromConfiguration, mContext.wallMillis()),
                        () -> onSubmissionCommitted(spec.id(), reply));
        if (!accepted) {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
        }
    }

    private boolean isKnownTeam(String name) {
        return mContext.configuration().teams().stream().anyMatch(team -> team.name().equals(name));
    }

    private JobResult<JobSummary> repeatedSubmissionResult(JobEntry existing, JobSpec spec) {
        return existing.spec().equals(spec)
                ? new JobResult.Done<>(JobReports.summary(existing))
                : new JobResult.Refused<>(
                        "a job with the id " + spec.id() + " and another specification exists");
    }

    private void onSubmissionCommitted(JobId id, Consumer<JobResult<JobSummary>> reply) {
        mContext.counters().jobSubmitted();
        mContext.state()
                .job(id)
                .ifPresent(
                        job -> {
                            enqueuePending(job);
                            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
                        });
    }

    void cancel(JobId id, Consumer<JobResult<JobSummary>> reply) {
        Optional<JobEntry> existing = mContext.state().job(id);
        if (existing.isEmpty()) {
            reply.accept(new JobResult.NotFound<>("no job has the id " + id));
            return;
        }
        JobEntry job = existing.get();
        if (job.isEnded() || job.isCancelled()) {
            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
            return;
        }
        boolean accepted =
                mContext.append(
                        new JournalRecord.JobCancelled(id, mContext.wallMillis()),
                        () -> {
                            stopCancelledTasks(job);
                            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
                        });
        if (accepted) {
            cancelUnsentTasks(job);
        } else {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
        }
    }

    private void enqueuePending(JobEntry job) {
        job.tasks().stream().filter(TaskEntry::isPending).forEach(mAttempts::enqueue);
    }

    private void stopCancelledTasks(JobEntry job) {
        job.tasks().stream().filter(TaskEntry::isCancelling).forEach(mAttempts::stop);
    }

    /**
     * Removes the ended tasks of a job from the queues, and ends cancelled attempts whose start was
     * not sent.
     */
    private void cancelUnsentTasks(JobEntry job) {
        job.tasks().stream()
                .filter(task -> task.state().ended())
                .forEach(
                        task -> {
                            mContext.scheduler().dequeue(task.id());
                            mStarter.removeUnplaceable(task);
                        });
        job.tasks().stream()
                .filter(task -> task.isCancelling() && mAttempts.isStartUnsent(task))
                .forEach(
                        task ->
                                mAttempts.end(
                                        task,
                                        AttemptEnd.NOT_STARTED,
                                        "cancelled before the start"));
    }

    List<JobSummary> summaries() {
        return mContext.state().jobs().stream().map(JobReports::summary).toList();
    }

    Optional<JobDetail> detail(JobId id) {
        return mContext.state().job(id).map(JobReports::detail);
    }

    Optional<String> explain(JobId id) {
        return mContext.state().job(id).map(this::explain);
    }

    private String explain(JobEntry job) {
        boolean placed = job.tasks().stream().anyMatch(TaskEntry::isPlaced);
        if (placed && !mContext.isViewFresh()) {
            return "Its tasks are placed, but no start is allowed while the key-value service does"
                    + " not confirm which data centres are in service.";
        }
        return JobReports.explain(job).orElseGet(() -> mContext.scheduler().explain(job.id()));
    }

    /** Removes the jobs that ended longer ago than the retention time. */
    void retireExpiredJobs() {
        long cutoffMillis = mContext.wallMillis() - mContext.settings().retention().toMillis();
        List<JobId> expired =
                mContext.state().jobs().stream()
                        .filter(job -> job.endedMillis() > 0 && job.endedMillis() < cutoffMillis)
                        .map(JobEntry::id)
                        .toList();
        expired.forEach(job -> mContext.append(new JournalRecord.JobRetired(job), () -> {}));
    }
}
