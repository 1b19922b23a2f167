package org.knapweedbank.scheduling.quota;

import java.util.Comparator;

/**
 * Rank of a team, determined by its first task; lower ranks are served first.
 *
 * @param urgent true if the first task is urgent
 * @param withinDeserved true if the team stays within its deserved share with this task
 * @param priority priority of the team if the task exceeds the deserved share, else 0
 * @param ratio used part of the deserved share, or the usage over quota divided by the weight if
 *     the task exceeds the deserved share
 * @param team name of the team, which breaks ties
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
