/** Benchmarks of the routing policies and of the latency that the request path adds. */
package org.knapweedbank.bench.routing;
