/** Stand-ins for the platform and for upstreams. */
package org.knapweedbank.standin;
