/** Benchmarks of the agent. */
package org.knapweedbank.bench.agent;
