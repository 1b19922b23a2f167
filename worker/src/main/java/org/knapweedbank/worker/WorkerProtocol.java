package org.knapweedbank.worker;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import org.knapweedbank.model.TaskId;

/**
 * Paths and bodies of the worker's HTTP interface. Requests with a body are POST requests. A
 * refusal has status 400, 404 or 409 and a {@link Refusal} as its body.
 */
public final class WorkerProtocol {
    /** Starts an attempt: {@link TaskStart}, answered by {@link TaskStatus}. */
    public static final String START = "/v1/tasks/start";

    /** Extends leases: {@link Renewal}, answered by {@link Renewed}. */
    public static final String RENEW = "/v1/tasks/renew";

    /** Checkpoints and stops: {@link AttemptRef}, answered by {@link TaskStatus}. */
    public static final String CHECKPOINT = "/v1/tasks/checkpoint";

    /** Limits processor time: {@link Throttle}, answered by {@link TaskStatus}. */
    public static final String THROTTLE = "/v1/tasks/throttle";

    /** Stops: {@link AttemptRef}, answered by {@link TaskStatus}. */
    public static final String STOP = "/v1/tasks/stop";

    /** Forgets an attempt that has ended: {@link AttemptRef}, answered by {@link Forgotten}. */
    public static final String FORGET = "/v1/tasks/forget";

    /** Lists the attempts (GET), answered by {@link Tasks}. */
    public static final String LIST = "/v1/tasks";

    /** Reads usage (GET), answered by {@link Samples}. */
    public static final String USAGE = "/v1/usage";

    private WorkerProtocol() {}

    /**
     * Names an attempt.
     *
     * @param task the task
     * @param attempt attempt number
     */
    public record AttemptRef(TaskId task, int attempt) {}

    /**
     * Limits an attempt.
     *
     * @param task the task
     * @param attempt attempt number
     * @param share share of its resources
     */
    public record Throttle(TaskId task, int attempt, double share) {}

    /**
     * Extends all leases.
     *
     * @param ttlMillis new time to live in milliseconds
     */
    public record Renewal(long ttlMillis) {}

    /**
     * Answer to a renewal.
     *
     * @param tasks number of tasks whose lease was extended
     */
    public record Renewed(int tasks) {}

    /**
     * Answer to the order to forget.
     *
     * @param known true if the attempt was known
     */
    public record Forgotten(boolean known) {}

    /**
     * Answer to a list.
     *
     * @param tasks the attempts
     */
    public record Tasks(List<TaskStatus> tasks) {}

    /**
     * Answer to a usage query.
     *
     * @param samples one sample for each running task
     */
    public record Samples(List<TaskUsage> samples) {}

    /**
     * Reason of a refusal.
     *
     * @param reason the reason
     */
    public record Refusal(String reason) {}

    /**
     * Creates a mapper for the bodies. Unknown fields are ignored, so that a newer version may add
     * some.
     *
     * @return the mapper
     */
    public static JsonMapper mapper() {
        return JsonMapper.builder()
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
    }
}
