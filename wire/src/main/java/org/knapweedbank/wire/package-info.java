/** Messages between daemons, and their transport as MessagePack frames over TCP. */
package org.knapweedbank.wire;
