/**
 * Membership of agents and entries: control sessions, upstreams announced by agents, and links
 * between entries.
 */
package org.knapweedbank.entry.membership;
