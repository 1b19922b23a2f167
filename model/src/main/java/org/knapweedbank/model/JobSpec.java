package org.knapweedbank.model;

import java.util.List;

/**
 * Specification of a job as an operator submits it.
 *
 * @param id identifier, chosen by the submitter; submitting the same specification again is
 *     idempotent
 * @param team team whose quota the job uses
 * @param kind service or batch
 * @param taskClass class of the tasks; resource usage and interference are learned for each class
 * @param tasks number of tasks; for a service, the number of replicas
 * @param resources declared resources of each task
 * @param priority priority within the team's over-quota share; jobs of higher priority go first
 * @param urgent true if the tasks may preempt batch tasks
 * @param expectedSeconds declared run time of a task in seconds, used as a hint; 0 if not known
 * @param maxAttempts number of failed attempts after which a task fails permanently
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
    /** Checks that the components are in range and copies the command. */
    public JobSpec {
        Identifiers.requireNonEmpty(team, "team");
        Identifiers.requireNonEmpty(taskClass, "task class");
        if (tasks < 1) {
            throw new IllegalArgumentException("number of tasks is below 1: " + tasks);
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "maximum number of attempts is below 1: " + maxAttempts);
        }
        if (!resources.isNonNegative()) {
            throw new IllegalArgumentException("a resource of the tasks is negative: " + resources);
        }
        command = List.copyOf(command);
    }
}
