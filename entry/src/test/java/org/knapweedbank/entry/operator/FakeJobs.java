package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.control.JobDetail;
import org.knapweedbank.control.JobOperations;
import org.knapweedbank.control.JobResult;
import org.knapweedbank.control.JobSummary;
import org.knapweedbank.control.TaskSummary;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Job operations that record their calls. The job ids far, ownerless, refused, unknown, broken and
 * absent select a failure; operations on all other ids succeed.
 */
final class FakeJobs implements JobOperations {
    private final List<String> mCalls = new ArrayList<>();

    /** Returns the operations called so far, as operation name and job id. */
    synchronized List<String> calls() {
        return List.copyOf(mCalls);
    }

    private synchronized <T> Uni<JobResult<T>> result(String operation, JobId job, T successItem) {
        mCalls.add(operation + " " + job.value());
        JobResult<T> result =
                switch (job.value()) {
                    case "far" -> new JobResult.NotOwner<>(3, "entry-2");
                    case "ownerless" -> new JobResult.NotOwner<>(4, "");
                    case "refused" -> new JobResult.Refused<>("no room");
                    case "unknown" -> new JobResult.Unknown<>("journal did not answer");
                    case "broken" -> throw new IllegalStateException("broken");
                    case "absent" -> new JobResult.NotFound<>("no job absent");
                    default -> new JobResult.Done<>(successItem);
                };
        return Uni.createFrom().item(result);
    }

    private static JobSummary summary(JobId id) {
        return new JobSummary(id, "t", JobKind.BATCH, "running", 2, 1, 1, 0, "");
    }

    private static JobSpec spec(JobId id) {
        Resources resources = new Resources(1, 1, 0);
        return new JobSpec(
                id, "t", JobKind.BATCH, "c", 2, resources, 0, false, 0, 3, List.of("run"));
    }

    @Override
    public Uni<JobResult<JobSummary>> submit(JobSpec spec) {
        return result("submit", spec.id(), summary(spec.id()));
    }

    @Override
    public Uni<JobResult<List<JobSummary>>> list() {
        return result("list", new JobId("here"), List.of(summary(new JobId("here"))));
    }

    @Override
    public Uni<JobResult<JobDetail>> show(JobId job) {
        TaskSummary task = new TaskSummary(new TaskId(job, 0), "running", 1, "vm-1", "");
        return result("show", job, new JobDetail(summary(job), spec(job), List.of(task)));
    }

    @Override
    public Uni<JobResult<JobSummary>> cancel(JobId job) {
        return result("cancel", job, summary(job));
    }

    @Override
    public Uni<JobResult<String>> explain(JobId job) {
        return result("explain", job, "waits for accelerators");
    }
}
