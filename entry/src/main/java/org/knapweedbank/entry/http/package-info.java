/** HTTP listener for callers. */
package org.knapweedbank.entry.http;
