package org.knapweedbank.config;

import java.util.List;

/** Default values of optional configuration fields. */
public final class ConfigurationDefaults {
    /** Number of scheduling partitions in each region. */
    public static final int PARTITIONS_PER_REGION = 1;

    /** Deadline of a request in milliseconds. */
    public static final long DEFAULT_DEADLINE_MILLIS = 10_000;

    /** Maximum number of concurrent requests to a service at one entry. */
    public static final int MAX_CONCURRENT_REQUESTS = 256;

    /** HTTP methods whose requests may be retried: the idempotent ones of RFC 9110 but TRACE. */
    public static final List<String> IDEMPOTENT_METHODS =
            List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    /** Weight of a team in the division of resources beyond the quotas. */
    public static final double TEAM_WEIGHT = 1.0;

    /** Number of tasks of a job. */
    public static final int TASKS_PER_JOB = 1;

    /** Number of failed attempts after which a task is not retried. */
    public static final int MAX_ATTEMPTS = 3;

    private ConfigurationDefaults() {}
}
