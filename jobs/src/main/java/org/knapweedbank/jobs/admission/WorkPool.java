package org.knapweedbank.jobs.admission;

/**
 * Work that shares the same processor time. The rate and the backlog are kept for each pool.
 *
 * @param service pool of VMs that runs the tasks
 * @param kind kind of the work
 */
public record WorkPool(String service, WorkKind kind) {}
