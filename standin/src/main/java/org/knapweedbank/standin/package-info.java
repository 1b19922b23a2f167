/** Simulated platform services (key-value store and workers) and upstreams, for tests and demos. */
package org.knapweedbank.standin;
