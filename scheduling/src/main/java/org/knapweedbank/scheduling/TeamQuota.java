package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;

/**
 * Quota of a team in one partition.
 *
 * @param deserved resources that the team may always use
 * @param weight weight over quota
 * @param priority priority over quota; higher goes first
 */
public record TeamQuota(Resources deserved, double weight, int priority) {}
