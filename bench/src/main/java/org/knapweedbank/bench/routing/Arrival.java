package org.knapweedbank.bench.routing;

/**
 * A simulated request, which is the same for all policies.
 *
 * @param nanos virtual time of its arrival at the entry
 * @param entry index of the entry
 * @param serviceNanos time that it needs in a slot of a healthy upstream
 * @param idempotent true if it may be executed more than once
 */
record Arrival(long nanos, int entry, long serviceNanos, boolean idempotent) {}
