package org.knapweedbank.worker;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Measured usage of one running attempt.
 *
 * @param task the task
 * @param attempt attempt number
 * @param used measured usage
 * @param sampleAgeMillis age of the sample when it was reported, in milliseconds
 */
public record TaskUsage(TaskId task, int attempt, Resources used, long sampleAgeMillis) {}
