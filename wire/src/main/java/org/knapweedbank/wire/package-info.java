/** Messages between daemons and their MessagePack frames over TCP. */
package org.knapweedbank.wire;
