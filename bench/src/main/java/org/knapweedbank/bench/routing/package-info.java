/** Benchmarks of the routing policy and of the overhead of the request path. */
package org.knapweedbank.bench.routing;
