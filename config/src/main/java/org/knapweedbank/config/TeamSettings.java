package org.knapweedbank.config;

import org.knapweedbank.model.Resources;

/**
 * Quota of a team.
 *
 * @param name name of the team
 * @param deserved resources that the team may always use
 * @param weight weight in the division of resources over quota, above 0
 * @param priority priority in the division of resources over quota; higher goes first
 */
public record TeamSettings(String name, Resources deserved, double weight, int priority) {}
