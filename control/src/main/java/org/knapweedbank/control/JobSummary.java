package org.knapweedbank.control;

import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;

/**
 * Summary of a job: its state and the number of its tasks in each state.
 *
 * @param id identifier of the job
 * @param team team that submitted the job
 * @param kind service or batch
 * @param state {@code waiting}, {@code running}, {@code finished}, {@code failed}, {@code
 *     cancelled}
 * @param tasks total number of tasks, including replaced and cancelled ones
 * @param running number of tasks whose current attempt is starting, running or ending
 * @param finished number of tasks that have completed their work
 * @param failed number of tasks that have failed permanently
 * @param reason last recorded reason of the first task that has one, or empty
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
