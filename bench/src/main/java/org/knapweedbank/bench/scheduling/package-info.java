/** Benchmarks of the scheduling decisions, with small models of their environment. */
package org.knapweedbank.bench.scheduling;
