package org.knapweedbank.control;

import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;

/**
 * State of a job in figures.
 *
 * @param id the job
 * @param team its team
 * @param kind service or batch
 * @param state {@code waiting}, {@code running}, {@code finished}, {@code failed}, {@code
 *     cancelled}
 * @param tasks number of tasks
 * @param running tasks that run
 * @param finished tasks that have finished
 * @param failed tasks that have failed for good
 * @param reason why the job waits or failed, or empty
 */
public record JobSummary(
        JobId id,
        String team,
        JobKind kind,
        String state,
        int tasks,
        int running,
        int finished,
        int failed,
        String reason) {}
