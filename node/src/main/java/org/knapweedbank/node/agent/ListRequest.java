package org.knapweedbank.node.agent;

/**
 * Circumstances under which the worker's lists were requested.
 *
 * @param term term of the owner
 * @param sentAtMillis monotonic time in milliseconds
 * @param newestGrant number of the newest request that the owner had granted
 */
record ListRequest(long term, long sentAtMillis, long newestGrant) {}
