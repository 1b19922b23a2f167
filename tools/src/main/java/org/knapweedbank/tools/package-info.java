/** Operators' command-line client. */
package org.knapweedbank.tools;
