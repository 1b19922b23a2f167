/** Benchmarks and the quickstart program. */
package org.knapweedbank.bench;
