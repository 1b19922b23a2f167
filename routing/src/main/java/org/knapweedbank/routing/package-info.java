/**
 * Request routing: selection of upstreams, retries, hedging and admission. The classes perform no
 * I/O.
 */
package org.knapweedbank.routing;
