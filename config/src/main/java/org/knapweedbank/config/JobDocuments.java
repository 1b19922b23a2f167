package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;

/** Converts between jobs and their JSON form. */
public final class JobDocuments {
    private JobDocuments() {}

    /**
     * Converts a submitted job.
     *
     * @param job result of {@link ConfigurationParser#parseJob} without errors
     * @return the job
     */
    public static JobSpec toSpec(ParsedFile job) {
        if (!job.isAccepted()) {
            throw new IllegalArgumentException("the job has errors");
        }
        return ConfigurationBinder.job(job.tree().path("id").asText(), job.tree());
    }

    /**
     * The JSON form of a job, as it is submitted.
     *
     * @param spec the job
     * @return the fields, with {@code id} first
     */
    public static ObjectNode toJson(JobSpec spec) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", spec.id().value());
        node.setAll(fields(spec));
        return node;
    }

    /** The fields of a job without its identifier, as in the section {@code jobs}. */
    static ObjectNode fields(JobSpec spec) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("team", spec.team());
        node.put("kind", spec.kind().name().toLowerCase(Locale.ROOT));
        node.put("taskClass", spec.taskClass());
        node.put("tasks", spec.tasks());
        node.set("resources", resources(spec.resources()));
        node.put("priority", spec.priority());
        node.put("urgent", spec.urgent());
        node.put("expectedSeconds", spec.expectedSeconds());
        node.put("maxAttempts", spec.maxAttempts());
        spec.command().forEach(node.putArray("command")::add);
        return node;
    }

    static ObjectNode resources(Resources resources) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("milliCpu", resources.milliCpu());
        node.put("memoryMb", resources.memoryMb());
        node.put("accelerators", resources.accelerators());
        return node;
    }
}
