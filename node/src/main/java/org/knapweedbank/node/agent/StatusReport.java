package org.knapweedbank.node.agent;

import org.knapweedbank.jobs.WorkerInfo;

/**
 * Status report of a worker.
 *
 * @param worker attributes that the worker reports about itself
 * @param sequence number of the report, which rises with each report of an incarnation; a report
 *     with a lower number than one received before was delayed
 */
public record StatusReport(WorkerInfo worker, long sequence) {}
