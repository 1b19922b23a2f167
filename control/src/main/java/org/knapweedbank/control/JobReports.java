package org.knapweedbank.control;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import org.knapweedbank.scheduling.task.TaskLifecycle;

/** Builds summaries and explanations of jobs for operators. */
final class JobReports {
    private JobReports() {}

    static JobSummary summary(JobEntry job) {
        Collection<TaskEntry> tasks = job.tasks();
        return new JobSummary(
                job.id(),
                job.spec().team(),
                job.spec().kind(),
                state(job),
                tasks.size(),
                count(job, TaskEntry::isActive),
                count(job, task -> task.state() instanceof TaskLifecycle.Finished),
                count(job, task -> task.state() instanceof TaskLifecycle.Failed),
                reason(job));
    }

    static JobDetail detail(JobEntry job) {
        return new JobDetail(
                summary(job), job.spec(), job.tasks().stream().map(JobReports::task).toList());
    }

    /**
     * Explains the state of a job that does not wait for placement by the scheduler; empty for a
     * job that does.
     */
    static Optional<String> explain(JobEntry job) {
        if (job.isEnded()) {
            return Optional.of("The job does not wait: it is " + state(job) + ".");
        }
        if (job.isCancelled()) {
            return Optional.of(
                    "The job was cancelled; "
                            + count(job, TaskEntry::isActive)
                            + " tasks have not confirmed their end yet.");
        }
        Optional<TaskEntry> refused =
                job.tasks().stream()
                        .filter(task -> task.isPending() && task.refusals() > 1)
                        .findFirst();
        if (refused.isPresent()) {
            TaskEntry task = refused.get();
            return Optional.of(
                    "The start of "
                            + task.id()
                            + " was refused "
                            + task.refusals()
                            + " times in a row, the last time with: "
                            + task.detail()
                            + ". It is tried again, at most every 64 s; cancel the job if the"
                            + " cause cannot be mended.");
        }
        if (count(job, TaskEntry::isPending) > 0) {
            return Optional.empty();
        }
        return Optional.of(
                "The job does not wait: "
                        + count(job, TaskEntry::isActive)
                        + " of its tasks run or are starting.");
    }

    private static TaskSummary task(TaskEntry task) {
        TaskLifecycle state = task.state();
        String vm =
                state instanceof TaskLifecycle.Finished finished
                        ? finished.vm().value()
                        : task.vm() == null ? "" : task.vm().value();
        return new TaskSummary(
                task.id(),
                state.getClass().getSimpleName().toLowerCase(Locale.ROOT),
                state.attempt(),
                vm,
                task.detail());
    }

    private static String state(JobEntry job) {
        if (job.isCancelled()) {
            return "cancelled";
        }
        if (job.isEnded()) {
            return count(job, task -> task.state() instanceof TaskLifecycle.Failed) > 0
                    ? "failed"
                    : "finished";
        }
        return count(job, TaskEntry::isActive) > 0 ? "running" : "waiting";
    }

    private static String reason(JobEntry job) {
        return job.tasks().stream()
                .map(TaskEntry::detail)
                .filter(detail -> !detail.isEmpty())
                .findFirst()
                .orElse("");
    }

    private static int count(JobEntry job, Predicate<TaskEntry> predicate) {
        return (int) job.tasks().stream().filter(predicate).count();
    }
}
