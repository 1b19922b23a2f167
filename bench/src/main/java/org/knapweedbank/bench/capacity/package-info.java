/** Slopes of state, messages and processor time, from which the capacity page is worked out. */
package org.knapweedbank.bench.capacity;
