/** HTTP listener for callers: request validation, execution and responses. */
package org.knapweedbank.entry.http;
