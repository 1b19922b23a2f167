package org.knapweedbank.config;

import java.util.List;

/** Values of the fields that a configuration leaves out. */
public final class ConfigurationDefaults {
    /** Scheduling partitions in each region. */
    public static final int PARTITIONS_PER_REGION = 1;

    /** Time allowed for an answer in milliseconds. */
    public static final long DEADLINE_MILLIS = 10_000;

    /** Requests of a service that one entry has open at a time. */
    public static final int MAX_CONCURRENT = 256;

    /** Methods that may be repeated, as RFC 9110 defines them. */
    public static final List<String> IDEMPOTENT_METHODS =
            List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    /** Weight of a team. */
    public static final double WEIGHT = 1.0;

    /** Tasks of a job. */
    public static final int TASKS = 1;

    /** Failed attempts after which a task fails for good. */
    public static final int MAX_ATTEMPTS = 3;

    private ConfigurationDefaults() {}
}
