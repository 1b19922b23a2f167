/**
 * Benchmarks of the growth of state, messages and processor time with the size, for the capacity
 * page.
 */
package org.knapweedbank.bench.capacity;
