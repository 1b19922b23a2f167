package org.knapweedbank.worker;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import org.knapweedbank.model.TaskId;

/**
 * Defines the paths and the JSON bodies of the worker's HTTP interface. Requests with a body use
 * POST. A worker refuses a request with status 400, 404 or 409 and a {@link RefusalResponse} as the
 * body.
 */
public final class WorkerProtocol {
    /** Path that starts an attempt: {@link TaskStart} in, {@link TaskStatus} out. */
    public static final String START_PATH = "/v1/tasks/start";

    /**
     * Path that renews the leases of all running attempts: {@link Renewal} in, {@link
     * RenewLeasesResponse} out.
     */
    public static final String RENEW_LEASES_PATH = "/v1/tasks/renew";

    /**
     * Path that checkpoints and then stops an attempt: {@link AttemptRef} in, {@link TaskStatus}
     * out.
     */
    public static final String CHECKPOINT_PATH = "/v1/tasks/checkpoint";

    /** Path that limits the CPU time of an attempt: {@link Throttle} in, {@link TaskStatus} out. */
    public static final String THROTTLE_PATH = "/v1/tasks/throttle";

    /**
     * Path that stops an attempt without a checkpoint: {@link AttemptRef} in, {@link TaskStatus}
     * out.
     */
    public static final String STOP_PATH = "/v1/tasks/stop";

    /**
     * Path that removes an ended attempt from the worker's list: {@link AttemptRef} in, {@link
     * ForgetResponse} out.
     */
    public static final String FORGET_PATH = "/v1/tasks/forget";

    /** Path that lists the attempts, for GET requests; returns {@link TaskList}. */
    public static final String LIST_TASKS_PATH = "/v1/tasks";

    /**
     * Path that returns the resource usage of the running attempts, for GET requests; returns
     * {@link UsageList}.
     */
    public static final String USAGE_PATH = "/v1/usage";

    private WorkerProtocol() {}

    /**
     * Request body that refers to one attempt.
     *
     * @param task the task
     * @param attempt attempt number
     */
    public record AttemptRef(TaskId task, int attempt) {}

    /**
     * Request body that limits the CPU time of an attempt.
     *
     * @param task the task
     * @param attempt attempt number
     * @param share fraction of its CPU reservation that the attempt may use, in (0, 1]
     */
    public record Throttle(TaskId task, int attempt, double share) {}

    /**
     * Request body that renews the leases of all running attempts.
     *
     * @param ttlMillis new time to live of the leases in milliseconds, from the receipt of the
     *     request
     */
    public record Renewal(long ttlMillis) {}

    /**
     * Response body of a lease renewal.
     *
     * @param tasks number of running attempts whose lease was renewed
     */
    public record RenewLeasesResponse(int tasks) {}

    /**
     * Response body of a request to forget an attempt.
     *
     * @param known true if the attempt was in the worker's list
     */
    public record ForgetResponse(boolean known) {}

    /**
     * Response body that lists the attempts of the worker.
     *
     * @param tasks state of each running attempt and of each ended one that was not forgotten
     */
    public record TaskList(List<TaskStatus> tasks) {}

    /**
     * Response body with resource usage.
     *
     * @param samples one sample for each running attempt
     */
    public record UsageList(List<TaskUsage> samples) {}

    /**
     * Response body of a refused request.
     *
     * @param reason why the worker refused the request
     */
    public record RefusalResponse(String reason) {}

    /**
     * Creates a JSON mapper for the bodies. It ignores unknown fields, so that a newer version of
     * the protocol may add fields.
     *
     * @return a new mapper
     */
    public static JsonMapper newMapper() {
        return JsonMapper.builder()
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
    }
}
