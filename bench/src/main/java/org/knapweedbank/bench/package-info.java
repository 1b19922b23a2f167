/** Benchmarks of the system, and the program that runs them. */
package org.knapweedbank.bench;
