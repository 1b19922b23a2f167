/**
 * Scheduler of a partition: task queues, placement, quotas, preemption and interference control.
 */
package org.knapweedbank.scheduling;
