package org.knapweedbank.config;

import java.util.stream.Stream;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;

/** Rules for configured jobs. */
final class JobRules {
    private JobRules() {}

    /**
     * Finds service jobs whose task class names no service. The scheduler looks up the latency
     * objective of a replica by its task class. Sites without services are passed over.
     */
    static Stream<Finding> unknownService(RuleContext context) {
        return jobsOf(context, JobKind.SERVICE)
                .filter(job -> !context.site().services().isEmpty())
                .filter(job -> context.site().service(job.taskClass()).isEmpty())
                .map(
                        job ->
                                context.noMatch(
                                        path(job) + ".taskClass",
                                        "there is no service "
                                                + job.taskClass()
                                                + ", so no latency objective applies to the"
                                                + " replicas"));
    }

    /** Finds service jobs with a run time, although replicas stay up. */
    static Stream<Finding> runTimeOfService(RuleContext context) {
        return jobsOf(context, JobKind.SERVICE)
                .filter(job -> job.expectedSeconds() > 0)
                .map(
                        job ->
                                context.contradiction(
                                        path(job) + ".expectedSeconds",
                                        "a run time is declared, but replicas of a service stay"
                                                + " up"));
    }

    /** Finds jobs of which not even one task fits in the quota that its team has in a partition. */
    static Stream<Finding> taskOverQuota(RuleContext context) {
        return context.site().teams().stream()
                .filter(TeamRules::hasQuota)
                .flatMap(
                        team ->
                                context.site().jobs().stream()
                                        .filter(job -> job.team().equals(team.name()))
                                        .flatMap(job -> taskOverQuota(context, team, job)));
    }

    private static Stream<Finding> taskOverQuota(
            RuleContext context, TeamSettings team, JobSpec job) {
        int partitions = context.site().partitionCount();
        String excess =
                Amounts.of(job.resources(), 1)
                        .describeExcess(team.deservedPerPartition(partitions));
        String scope = partitions == 1 ? "" : " in each of " + partitions + " partitions";
        return excess.isEmpty()
                ? Stream.empty()
                : Stream.of(
                        context.contradiction(
                                path(job) + ".resources",
                                "a task requests more than the deserved amount of team "
                                        + team.name()
                                        + scope
                                        + " and never runs within the quota: "
                                        + excess));
    }

    private static Stream<JobSpec> jobsOf(RuleContext context, JobKind kind) {
        return context.site().jobs().stream().filter(job -> job.kind() == kind);
    }

    private static String path(JobSpec job) {
        return JsonPaths.entry("jobs", job.id().value());
    }
}
