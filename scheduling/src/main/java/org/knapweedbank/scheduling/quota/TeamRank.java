package org.knapweedbank.scheduling.quota;

import java.util.Comparator;

/**
 * Place of a team in the order of service, for its first task.
 *
 * @param urgent true if the task is urgent
 * @param withinDeserved true if the team stays within its deserved share with the task
 * @param priority priority of the team over quota; 0 within the deserved share
 * @param ratio usage against the deserved share, or usage over quota for each unit of weight
 * @param team name of the team, which makes the order unambiguous
 */
record TeamRank(boolean urgent, boolean withinDeserved, int priority, double ratio, String team)
        implements Comparable<TeamRank> {
    private static final Comparator<TeamRank> ORDER =
            Comparator.comparing((TeamRank rank) -> !rank.urgent)
                    .thenComparing(rank -> !rank.withinDeserved)
                    .thenComparingInt(rank -> -rank.priority)
                    .thenComparingDouble(rank -> rank.ratio)
                    .thenComparing(TeamRank::team);

    @Override
    public int compareTo(TeamRank other) {
        return ORDER.compare(this, other);
    }
}
