package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;

/** Converts between job specifications and their JSON form. */
public final class JobDocuments {
    private JobDocuments() {}

    /**
     * Converts a submitted job to a job specification.
     *
     * @param job result of {@link ConfigurationParser#parseJob} without errors
     * @return the job specification
     * @throws IllegalArgumentException if the parsed job has errors
     */
    public static JobSpec toSpec(ParsedFile job) {
        if (!job.isAccepted()) {
            throw new IllegalArgumentException("cannot convert a job with errors");
        }
        return ConfigurationBinder.toJob(job.tree().path("id").asText(), job.tree());
    }

    /**
     * Converts a job specification to the JSON form in which jobs are submitted.
     *
     * @param spec the job specification
     * @return the JSON object, with {@code id} as its first field
     */
    public static ObjectNode toJson(JobSpec spec) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", spec.id().value());
        node.setAll(toJsonWithoutId(spec));
        return node;
    }

    /**
     * Converts a job to the form used in the section {@code jobs}, which has no {@code id} field.
     */
    static ObjectNode toJsonWithoutId(JobSpec spec) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("team", spec.team());
        node.put("kind", spec.kind().name().toLowerCase(Locale.ROOT));
        node.put("taskClass", spec.taskClass());
        node.put("tasks", spec.tasks());
        node.set("resources", toJson(spec.resources()));
        node.put("priority", spec.priority());
        node.put("urgent", spec.urgent());
        node.put("expectedSeconds", spec.expectedSeconds());
        node.put("maxAttempts", spec.maxAttempts());
        spec.command().forEach(node.putArray("command")::add);
        return node;
    }

    static ObjectNode toJson(Resources resources) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("milliCpu", resources.milliCpu());
        node.put("memoryMb", resources.memoryMb());
        node.put("accelerators", resources.accelerators());
        return node;
    }
}
