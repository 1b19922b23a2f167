/** Benchmarks of the scheduler, which run it against simulated VMs and tasks. */
package org.knapweedbank.bench.scheduling;
