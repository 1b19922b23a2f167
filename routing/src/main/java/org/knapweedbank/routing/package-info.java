/** Request policy: pure decisions about upstreams, retries and admission. */
package org.knapweedbank.routing;
