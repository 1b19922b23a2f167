/** Benchmarks of the resources that an agent process uses. */
package org.knapweedbank.bench.agent;
