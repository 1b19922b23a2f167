/** Benchmark of the load on the key-value service. */
package org.knapweedbank.bench.store;
