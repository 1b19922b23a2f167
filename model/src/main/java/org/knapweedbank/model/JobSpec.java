package org.knapweedbank.model;

import java.util.List;

/**
 * Description of a job as an operator submits it.
 *
 * @param id identifier, chosen by the submitter; a repeat of the same specification is idempotent
 * @param team team whose quota the job uses
 * @param kind service or batch
 * @param taskClass class of the tasks, by which usage and interference are learned
 * @param tasks number of tasks, or replicas of a service
 * @param resources declared resources of each task
 * @param priority priority within the team's over-quota share; higher goes first
 * @param urgent true if the tasks may preempt batch tasks
 * @param expectedSeconds declared run time of a task in seconds, a hint; 0 if not known
 * @param maxAttempts number of failed attempts after which a task fails for good
 * @param command program and arguments
 */
public record JobSpec(
        JobId id,
        String team,
        JobKind kind,
        String taskClass,
        int tasks,
        Resources resources,
        int priority,
        boolean urgent,
        long expectedSeconds,
        int maxAttempts,
        List<String> command) {
    /** Checks the ranges and copies the command. */
    public JobSpec {
        Identifiers.requireNonEmpty(team, "team");
        Identifiers.requireNonEmpty(taskClass, "task class");
        if (tasks < 1) {
            throw new IllegalArgumentException("number of tasks is below 1: " + tasks);
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("number of attempts is below 1: " + maxAttempts);
        }
        if (!resources.isNonNegative()) {
            throw new IllegalArgumentException("resources are negative: " + resources);
        }
        command = List.copyOf(command);
    }
}
