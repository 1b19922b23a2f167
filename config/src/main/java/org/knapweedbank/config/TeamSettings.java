package org.knapweedbank.config;

import org.knapweedbank.model.Resources;

/**
 * Quota of a team and its share of resources beyond the quota.
 *
 * @param name name of the team
 * @param deserved resources that the team may always use: its quota
 * @param weight weight in the division of resources beyond the quotas, above 0
 * @param priority priority in the division of resources beyond the quotas; higher values come first
 */
public record TeamSettings(String name, Resources deserved, double weight, int priority) {}
