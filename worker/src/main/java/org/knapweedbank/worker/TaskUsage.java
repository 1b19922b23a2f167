package org.knapweedbank.worker;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Resource usage of one running attempt.
 *
 * @param task the task
 * @param attempt attempt number
 * @param used resources that the attempt used when the sample was taken
 * @param sampleAgeMillis age of the sample in milliseconds when the worker reported it
 */
public record TaskUsage(TaskId task, int attempt, Resources used, long sampleAgeMillis) {}
