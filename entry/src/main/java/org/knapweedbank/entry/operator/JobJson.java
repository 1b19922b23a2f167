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

/** JSON form of jobs. */
final class JobJson {
    /** Jobs that one entry lists; at 250 bytes each they fit into a frame of 1 MiB. */
    static final int MAX_JOBS = 2_000;

    /** Tasks that are shown of a job; at 200 bytes each they fit into a frame of 1 MiB. */
    static final int MAX_TASKS = 2_000;

    private JobJson() {}

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

    /** Jobs that wait or run come first, so that the limit leaves out ended ones. */
    static ObjectNode list(List<JobSummary> jobs) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        ArrayNode array = node.putArray("jobs");
        jobs.stream()
                .sorted(Comparator.comparing(JobJson::ended).thenComparing(JobSummary::id))
                .limit(MAX_JOBS)
                .forEach(job -> array.add(summary(job)));
        node.put("omitted", jobs.size() - array.size());
        return node;
    }

    static ObjectNode detail(JobDetail detail) {
        ObjectNode node = summary(detail.summary());
        node.set("spec", JobDocuments.toJson(detail.spec()));
        ArrayNode tasks = node.putArray("taskList");
        detail.tasks().stream().limit(MAX_TASKS).forEach(task -> tasks.add(task(task)));
        node.put("tasksOmitted", detail.tasks().size() - tasks.size());
        return node;
    }

    private static boolean ended(JobSummary job) {
        return !job.state().equals("waiting") && !job.state().equals("running");
    }

    private static ObjectNode task(TaskSummary task) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", task.id().toString());
        node.put("state", task.state());
        node.put("attempt", task.attempt());
        node.put("vm", task.vm());
        node.put("detail", task.detail());
        return node;
    }
}
