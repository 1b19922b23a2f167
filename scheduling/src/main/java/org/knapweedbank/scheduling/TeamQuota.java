package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;

/**
 * Quota of a team in one partition.
 *
 * @param deserved resources that the team is always entitled to
 * @param weight weight of the team when capacity beyond the deserved shares is divided
 * @param priority priority of the team for that capacity; higher values go first
 */
public record TeamQuota(Resources deserved, double weight, int priority) {}
