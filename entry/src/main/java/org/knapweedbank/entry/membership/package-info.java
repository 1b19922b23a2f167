/** Membership: upstreams announced by agents, control sessions and links between entries. */
package org.knapweedbank.entry.membership;
