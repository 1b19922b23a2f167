/** Entry role: callers, operators and partitions. */
package org.knapweedbank.entry;
