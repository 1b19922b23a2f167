/** Quotas, pending queues and preemption. */
package org.knapweedbank.scheduling.quota;
