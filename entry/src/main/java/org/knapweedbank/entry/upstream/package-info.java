/** Data connections to agents and the routing state of each service, on the routing event loop. */
package org.knapweedbank.entry.upstream;
