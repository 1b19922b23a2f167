package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.knapweedbank.config.JobDocuments;
import org.knapweedbank.control.JobDetail;
import org.knapweedbank.control.JobSummary;
import org.knapweedbank.control.TaskSummary;

/** Converts jobs to JSON. */
final class JobJson {
    /**
     * Limit of the jobs that one entry lists. At 250 bytes each, they fit into a frame of 1 MiB.
     */
    static final int MAX_JOBS = 2_000;

    /** Limit of the tasks listed for a job. At 200 bytes each, they fit into a frame of 1 MiB. */
    static final int MAX_TASKS = 2_000;

    private JobJson() {}

    /** Returns a job without its specification and tasks. */
    static ObjectNode summary(JobSummary job) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", job.id().value());
        node.put("team", job.team());
        node.put("kind", job.kind().name().toLowerCase(Locale.ROOT));
        node.put("state", job.state());
        node.put("tasks", job.tasks());
        node.put("running", job.running());
        node.put("finished", job.finished());
        node.put("failed", job.failed());
        node.put("reason", job.reason());
        return node;
    }

    /**
     * Returns a list of jobs, waiting and running ones first, so that the limit omits ended ones.
     */
    static ObjectNode list(List<JobSummary> jobs) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        ArrayNode jobNodes = node.putArray("jobs");
        jobs.stream()
                .sorted(Comparator.comparing(JobJson::hasEnded).thenComparing(JobSummary::id))
                .limit(MAX_JOBS)
                .forEach(job -> jobNodes.add(summary(job)));
        node.put("omitted", jobs.size() - jobNodes.size());
        return node;
    }

    /** Returns a job with its specification and tasks. */
    static ObjectNode detail(JobDetail detail) {
        ObjectNode node = summary(detail.summary());
        node.set("spec", JobDocuments.toJson(detail.spec()));
        ArrayNode taskNodes = node.putArray("taskList");
        detail.tasks().stream().limit(MAX_TASKS).forEach(task -> taskNodes.add(taskSummary(task)));
        node.put("tasksOmitted", detail.tasks().size() - taskNodes.size());
        return node;
    }

    private static boolean hasEnded(JobSummary job) {
        return !job.state().equals("waiting") && !job.state().equals("running");
    }

    private static ObjectNode taskSummary(TaskSummary task) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", task.id().toString());
        node.put("state", task.state());
        node.put("attempt", task.attempt());
        node.put("vm", task.vm());
        node.put("detail", task.detail());
        return node;
    }
}
