/** Scheduling decisions: tasks, placement, quotas and interference. */
package org.knapweedbank.scheduling;
