package org.knapweedbank.config;

import java.util.stream.Stream;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;

/** Rules for teams and their quotas. */
final class TeamRules {
    private TeamRules() {}

    /** Finds quotas of accelerators that no declared VM size has. */
    static Stream<Finding> unavailableAccelerators(RuleContext context) {
        boolean available =
                context.vmSizes().isEmpty()
                        || context.vmSizes().values().stream()
                                .anyMatch(size -> size.accelerators() > 0);
        return context.site().teams().stream()
                .filter(team -> !available && team.deserved().accelerators() > 0)
                .map(
                        team ->
                                context.noMatch(
                                        deservedPath(team) + ".accelerators",
                                        "no declared VM size has accelerators"));
    }

    /**
     * Finds quotas of accelerators that cannot be divided among the partitions. Only accelerators
     * are few enough for the rounding to matter.
     */
    static Stream<Finding> indivisibleAccelerators(RuleContext context) {
        int partitions = context.site().partitionCount();
        return context.site().teams().stream()
                .filter(team -> team.deserved().accelerators() % partitions != 0)
                .map(
                        team ->
                                context.contradiction(
                                        deservedPath(team) + ".accelerators",
                                        describeRounding(team, partitions)));
    }

    private static String describeRounding(TeamSettings team, int partitions) {
        int share = team.deservedPerPartition(partitions).accelerators();
        return ("the amount is divided among %d partitions and rounded up, so the quotas of the"
                        + " partitions add up to %d instead of %d")
                .formatted(partitions, (long) share * partitions, team.deserved().accelerators());
    }

    /**
     * Finds teams whose service jobs together request more than the quota, so that some replicas
     * always depend on resources over quota. Jobs that {@link JobRules#taskOverQuota} reports are
     * left out.
     */
    static Stream<Finding> replicasOverQuota(RuleContext context) {
        return context.site().teams().stream()
                .filter(TeamRules::hasQuota)
                .flatMap(team -> replicasOverQuota(context, team));
    }

    private static Stream<Finding> replicasOverQuota(RuleContext context, TeamSettings team) {
        Resources share = team.deservedPerPartition(context.site().partitionCount());
        String excess =
                context.site().jobs().stream()
                        .filter(job -> job.kind() == JobKind.SERVICE)
                        .filter(job -> job.team().equals(team.name()))
                        .filter(job -> job.resources().fitsIn(share))
                        .map(TeamRules::total)
                        .reduce(Amounts.NONE, Amounts::plus)
                        .describeExcess(team.deserved());
        return excess.isEmpty()
                ? Stream.empty()
                : Stream.of(
                        context.contradiction(
                                deservedPath(team),
                                "the service jobs of the team together request more than the"
                                        + " deserved amount: "
                                        + excess));
    }

    /** Returns whether a team has a quota; a team without one uses only what is over quota. */
    static boolean hasQuota(TeamSettings team) {
        return !team.deserved().equals(Resources.NONE);
    }

    private static Amounts total(JobSpec job) {
        return Amounts.of(job.resources(), job.tasks());
    }

    private static String deservedPath(TeamSettings team) {
        return JsonPaths.entry("teams", team.name()) + ".deserved";
    }
}
