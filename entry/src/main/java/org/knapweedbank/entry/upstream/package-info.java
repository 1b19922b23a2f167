/**
 * Data connections to agents and the routing state of each service. Used on the routing event loop.
 */
package org.knapweedbank.entry.upstream;
