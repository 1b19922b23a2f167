package org.knapweedbank.bench.routing;

/**
 * A simulated request; the same for all policies.
 *
 * @param nanos time of the arrival at the entry
 * @param entry index of the entry
 * @param serviceNanos time that it needs in a slot of a healthy upstream
 * @param idempotent true if it may be repeated
 */
record Arrival(long nanos, int entry, long serviceNanos, boolean idempotent) {}
