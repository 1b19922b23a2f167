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

/** Submits, resizes, cancels, explains and retires jobs. */
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

    /** Submits the jobs that the configuration lists, and cancels services no longer listed. */
    void applyConfiguration(SiteConfiguration configuration) {
        int partition = mContext.partition();
        List<JobSpec> own =
                configuration.jobs().stream()
                        .filter(spec -> Partitions.ofJob(configuration, spec.id()) == partition)
                        .toList();
        own.forEach(this::submitConfigured);
        Set<JobId> listed = own.stream().map(JobSpec::id).collect(Collectors.toSet());
        List.copyOf(mContext.state().jobs()).stream()
                .filter(job -> job.isFromConfiguration() && job.isService())
                .filter(job -> !job.isCancelled() && !listed.contains(job.id()))
                .forEach(job -> cancel(job.id(), result -> {}));
    }

    private void submitConfigured(JobSpec spec) {
        Optional<JobEntry> known = mContext.state().job(spec.id());
        if (known.isEmpty()) {
            submit(spec, true, result -> {});
        } else if (known.get().isService() && known.get().spec().tasks() != spec.tasks()) {
            resize(known.get(), spec.tasks());
        } else if (!known.get().spec().equals(spec)) {
            LOG.warn(
                    "[control] job {} differs from the configuration; submit it under a new id",
                    spec.id());
        }
    }

    private void resize(JobEntry job, int tasks) {
        boolean taken =
                mContext.append(
                        new JournalRecord.JobResized(job.id(), tasks),
                        () -> {
                            enqueuePending(job);
                            stopCancelling(job);
                        });
        if (taken) {
            withdraw(job);
        }
    }

    void submit(JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        Optional<JobEntry> known = mContext.state().job(spec.id());
        if (known.isPresent()) {
            reply.accept(repeatedSubmission(known.get(), spec));
            return;
        }
        if (!isTeam(spec.team())) {
            reply.accept(new JobResult.Refused<>("no team has the name " + spec.team()));
            return;
        }
        boolean taken =
                mContext.append(
                        new JournalRecord.JobSubmitted(
                                spec, fromConfiguration, mContext.wallMillis()),
                        () -> submitted(spec.id(), reply));
        if (!taken) {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
        }
    }

    private boolean isTeam(String name) {
        return mContext.configuration().teams().stream().anyMatch(team -> team.name().equals(name));
    }

    private JobResult<JobSummary> repeatedSubmission(JobEntry known, JobSpec spec) {
        return known.spec().equals(spec)
                ? new JobResult.Done<>(JobReports.summary(known))
                : new JobResult.Refused<>(
                        "a job with the id " + spec.id() + " and another specification exists");
    }

    private void submitted(JobId id, Consumer<JobResult<JobSummary>> reply) {
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
        Optional<JobEntry> known = mContext.state().job(id);
        if (known.isEmpty()) {
            reply.accept(new JobResult.NotFound<>("no job has the id " + id));
            return;
        }
        JobEntry job = known.get();
        if (job.isEnded() || job.isCancelled()) {
            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
            return;
        }
        boolean taken =
                mContext.append(
                        new JournalRecord.JobCancelled(id, mContext.wallMillis()),
                        () -> {
                            stopCancelling(job);
                            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
                        });
        if (taken) {
            withdraw(job);
        } else {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
        }
    }

    private void enqueuePending(JobEntry job) {
        job.tasks().stream().filter(TaskEntry::isPending).forEach(mAttempts::enqueue);
    }

    private void stopCancelling(JobEntry job) {
        job.tasks().stream().filter(TaskEntry::isCancelling).forEach(mAttempts::stop);
    }

    /** Takes cancelled tasks out of the queues, and ends attempts whose start was not sent. */
    private void withdraw(JobEntry job) {
        job.tasks().stream()
                .filter(task -> task.state().ended())
                .forEach(
                        task -> {
                            mContext.scheduler().dequeue(task.id());
                            mStarter.forget(task);
                        });
        job.tasks().stream()
                .filter(task -> task.isCancelling() && mAttempts.isUnsent(task))
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

    /** Removes jobs that ended before the retention time. */
    void retire() {
        long before = mContext.wallMillis() - mContext.settings().retention().toMillis();
        List<JobId> ended =
                mContext.state().jobs().stream()
                        .filter(job -> job.endedMillis() > 0 && job.endedMillis() < before)
                        .map(JobEntry::id)
                        .toList();
        ended.forEach(job -> mContext.append(new JournalRecord.JobRetired(job), () -> {}));
    }
}
